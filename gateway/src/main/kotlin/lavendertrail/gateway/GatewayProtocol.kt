package lavendertrail.gateway

import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import lavendertrail.serving.CallerRequest
import lavendertrail.serving.Reject
import lavendertrail.serving.SendToServer

/**
 * The names that callers and backend servers use. The gateway itself knows HTTP only; an adapter supplies these functions.
 */
public class GatewayProtocol(
    /** Reads a caller's request head; null where it names no request. */
    public val decodeRequest: (HttpRequest) -> CallerRequest?,
    /** Headers of the request as sent to a server, from the caller's headers. The body's length is set by the gateway. */
    public val serverHeaders: (HttpHeaders, SendToServer) -> HttpHeaders,
    public val decodeResponseHead: (HttpResponse) -> ServerResponseHead,
    /** The gateway's own answer to a request that no server has answered. */
    public val rejection: (CallerRequest?, Reject) -> FullHttpResponse,
    /** The path on which the platform asks whether this process takes callers. */
    public val readinessPath: String,
)
