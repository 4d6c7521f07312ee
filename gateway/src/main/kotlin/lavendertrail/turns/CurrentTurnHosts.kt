package lavendertrail.turns

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.netty.channel.EventLoopGroup
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import java.util.concurrent.TimeUnit

/**
 * The list of turn hosts at the time of a read. [departedCount] hosts have left it, and for some of their records it isn't known yet
 * whether the members have made new copies.
 */
public data class CurrentTurnHosts(
    val hosts: List<TurnHost>,
    val revision: Long,
    val departedCount: Int,
)

/** Reads the list of [directory] and then the departed hosts, which are written before the list that lacks them. */
public fun readCurrentTurnHosts(directory: TurnHostDirectory): Result<CurrentTurnHosts, StepError> =
    directory.read().flatMap { listing ->
        directory.readDeparted().map { departed -> CurrentTurnHosts(listing.hosts, listing.revision, departed.hosts.size) }
    }

/**
 * Reads the current list on behalf of lookups, one read at a time. A lookup that begins during a read waits for the next one, since
 * the read may have taken place before a turn was stored that the lookup must find.
 */
internal class CurrentHostsCheck(
    private val loop: EventLoopGroup,
    private val readCurrentHosts: (onResult: (CurrentTurnHosts?) -> Unit) -> Unit,
) {
    private var waiting = mutableListOf<(CurrentTurnHosts?) -> Unit>()
    private var isReading = false

    /** Reports the list, on the event loop; null if it couldn't be read within [READ_TIMEOUT_MILLIS]. */
    fun read(onResult: (CurrentTurnHosts?) -> Unit) {
        var isReported = false

        fun report(current: CurrentTurnHosts?) {
            if (isReported) return
            isReported = true
            onResult(current)
        }
        loop.schedule({ report(null) }, READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        waiting += ::report
        readNext()
    }

    private fun readNext() {
        if (isReading || waiting.isEmpty()) return
        isReading = true
        val callers = waiting
        waiting = mutableListOf()
        readCurrentHosts { current ->
            loop.execute {
                isReading = false
                callers.forEach { it(current) }
                readNext()
            }
        }
    }

    private companion object {
        /** Many times the response time of the store; without the list the caller is told at once to come back. */
        const val READ_TIMEOUT_MILLIS = 500L
    }
}
