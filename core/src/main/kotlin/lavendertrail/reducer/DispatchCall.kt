package lavendertrail.reducer

import kotlinx.serialization.Serializable
import lavendertrail.model.AccountId
import lavendertrail.model.CallBody
import lavendertrail.model.CallId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServiceClass

/**
 * A call that is ready to be sent. [promptChain] identifies the prompt's prefixes, with one entry per message,
 * starting with the first. [fingerprint] covers model, messages and parameters, not ids. [recovered] is true where a former owner node
 * started the call: a stream that still runs at an engine is continued before the call is sent again. With [resumeOnly]
 * the call is never sent again; only its state is asked for.
 */
@Serializable
public data class DispatchCall(
    public val call: CallId,
    public val owner: OwnerId,
    public val account: AccountId,
    public val serviceClass: ServiceClass,
    public val body: CallBody,
    public val repeatable: Boolean,
    public val key: String? = null,
    public val deadlineMillis: Long,
    public val programDeadlineMillis: Long? = null,
    public val programOpenedMillis: Long,
    public val depth: Int,
    public val blocksParent: Boolean,
    public val promptChain: List<PromptPrefix>,
    public val promptTokens: Int,
    public val maxTokens: Int,
    public val fingerprint: String,
    public val recovered: Boolean = false,
    public val resumeOnly: Boolean = false,
)
