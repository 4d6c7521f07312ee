package lavendertrail.turns

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.netty.channel.EventLoopGroup
import lavendertrail.model.StepError
import lavendertrail.serving.TurnHost
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Copies what other hosts with disks keep and this one lacks. A copy that fails goes on where it stopped, unless the other
 * host has restarted meanwhile.
 */
internal class TurnCopier(
    private val self: TurnHost,
    private val keeper: TurnKeeper,
    private val group: EventLoopGroup,
) {
    private val loop = group.next()
    private val progress = mutableMapOf<TurnHost, Progress>()

    private class Progress(
        val epoch: Long?,
        val after: Long,
    )

    /** Blocks until everything that [other] keeps is on the own disk. */
    fun copy(other: TurnHost): Result<Unit, StepError> =
        TurnPeer(other.address, group).use { peer ->
            while (true) {
                val known = progress[other] ?: Progress(null, 0)
                val page = peer.await(loop, TurnMethods.copy, CopyRequest(known.after), CALL_MILLIS).fold({ it }, { return Err(it) })
                if (known.epoch != null && known.epoch != page.epoch) {
                    progress.remove(other)
                    continue
                }
                adopt(peer, page).fold({}, { return Err(it) })
                progress[other] = Progress(page.epoch, page.next)
                if (page.isLast) return Ok(Unit)
            }
            @Suppress("UNREACHABLE_CODE")
            Ok(Unit)
        }

    private fun adopt(
        peer: TurnPeer,
        page: CopyPage,
    ): Result<Unit, StepError> {
        if (!keep(page.uses.map { StoredRecord(use = it) })) return Err(diskError())
        var missing = onLoop { keeper.missing(page.turnIds) }
        while (missing.isNotEmpty()) {
            val reply = peer.await(loop, TurnMethods.fetch, FetchRequest(missing), CALL_MILLIS).fold({ it }, { return Err(it) })
            if (!keep(reply.turns.map { StoredRecord(turn = it) })) return Err(diskError())
            missing = missing.drop(reply.handled.coerceAtLeast(1))
        }
        return Ok(Unit)
    }

    private fun keep(records: List<StoredRecord>): Boolean {
        val kept = CompletableFuture<Boolean>()
        loop.execute { keeper.adopt(records) { kept.complete(it) } }
        return kept.get(DISK_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun diskError() = StepError("adopt", self.name, "disk failed")

    private fun <T> onLoop(task: () -> T): T = loop.submit(task).get()

    private companion object {
        /** A page of half a megabyte at the slowest link of a host takes a tenth of this. */
        const val CALL_MILLIS = 1_500L

        /** A disk may stall for seconds. */
        const val DISK_MILLIS = 10_000L
    }
}
