package lavendertrail.node

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import lavendertrail.membership.NodeRecord
import lavendertrail.model.StepError
import lavendertrail.ports.KeyValueService
import org.tinylog.kotlin.Logger

/**
 * Keeps this node's record in the key-value service under a lease. The lease only removes the records of dead nodes; nothing
 * else may be concluded from it. After a lease has expired, a new one is granted and the record stored again.
 */
internal class NodeLease(
    private val service: KeyValueService,
    private val background: BackgroundExecutor,
    private val ttlMillis: Long,
    private val renewMillis: Long,
    private val record: () -> NodeRecord,
) {
    private var leaseId: Long? = null
    private var writtenRecord: NodeRecord? = null

    fun start() {
        renew()
        background.scheduleWithFixedDelay(renewMillis, "node lease") { renew() }
    }

    /** Renews the lease, and stores the record if it has changed or its lease has expired. */
    @Synchronized
    fun renew() {
        val current = leaseId
        if (current != null && service.keepAlive(current).fold({ !it }, { false })) {
            Logger.info("service: node lease lapsed, granting a new one")
            leaseId = null
        }
        val lease = leaseId ?: service.grantLease(ttlMillis).get()
        if (lease != null && (lease != leaseId || writtenRecord != record())) writeRecord(lease, record())
    }

    /** Removes the record of a drained node. */
    @Synchronized
    fun revoke() {
        leaseId?.let { service.revokeLease(it) }
        leaseId = null
    }

    private fun writeRecord(
        lease: Long,
        current: NodeRecord,
    ) {
        val key = ServiceKeys.node(current.node)
        val value = ServiceKeys.json.encodeToString(current)
        val attempts = generateSequence { swapOnce(key, value, lease) }.take(WRITE_ATTEMPTS)
        if (attempts.any { it.get() == true }) {
            leaseId = lease
            writtenRecord = current
        }
    }

    private fun swapOnce(
        key: String,
        value: String,
        lease: Long,
    ): Result<Boolean, StepError> {
        val revision = service.get(key).fold({ it?.revision ?: 0 }, { 0 })
        return service.swap(key, revision, value, lease).map { it.won }
    }

    private companion object {
        const val WRITE_ATTEMPTS = 3
    }
}
