package lavendertrail.gateway

import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.Reject
import lavendertrail.serving.SendToServer

/**
 * The HTTP conventions of callers and backend servers, such as header names. The gateway itself implements plain HTTP only; an
 * adapter supplies these functions.
 */
public class GatewayProtocol(
    /** Decodes the head of a caller's request; null if the request is malformed. */
    public val decodeRequest: (HttpRequest) -> CallerRequest?,
    /** Converts the caller's headers to those of the request to a server. The gateway sets the body's length. */
    public val serverHeaders: (HttpHeaders, SendToServer) -> HttpHeaders,
    public val decodeResponseHead: (HttpResponse) -> ServerResponseHead,
    /** Builds the gateway's own response to a request that it rejects. */
    public val rejection: (CallerRequest?, Reject) -> FullHttpResponse,
    /** Path of the readiness check with which the platform decides whether this process receives callers. */
    public val readinessPath: String,
)
