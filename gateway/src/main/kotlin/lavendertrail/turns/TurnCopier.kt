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
import java.util.concurrent.TimeoutException

/**
 * Copies records that this turn host lacks from other turn hosts. A failed copy is resumed from its last position, unless the
 * other host has restarted in the meantime.
 */
internal class TurnCopier(
    private val ownHost: TurnHost,
    private val repository: TurnRepository,
    private val group: EventLoopGroup,
) {
    private val loop = group.next()
    private val progress = mutableMapOf<TurnHost, Progress>()

    private class Progress(
        val epoch: Long?,
        val after: Long,
    )

    /** Blocks until all records of [other] are stored on this host's disk. */
    fun copy(other: TurnHost): Result<Unit, StepError> =
        TurnPeer(other.address, group).use { peer ->
            while (true) {
                val start = progress[other] ?: Progress(null, 0)
                val request = CopyRequest(start.after)
                val page = peer.callBlocking(loop, TurnMethods.copy, request, CALL_TIMEOUT_MILLIS).fold({ it }, { return Err(it) })
                if (start.epoch != null && start.epoch != page.epoch) {
                    progress.remove(other)
                    continue
                }
                storePage(peer, page).fold({}, { return Err(it) })
                progress[other] = Progress(page.epoch, page.next)
                if (page.isLast) return Ok(Unit)
            }
            @Suppress("UNREACHABLE_CODE")
            Ok(Unit)
        }

    private fun storePage(
        peer: TurnPeer,
        page: CopyPage,
    ): Result<Unit, StepError> {
        val fullRecords =
            page.uses.map { StoredRecord(use = it) } +
                page.origins.map { StoredRecord(origin = it) } +
                page.unfinishedTurns.map { StoredRecord(unfinishedTurn = it) }
        if (!storeRecords(fullRecords)) return Err(diskFailure())
        var missingTurnIds = onLoop { repository.findMissingTurns(page) }
        while (missingTurnIds.isNotEmpty()) {
            val request = FetchRequest(missingTurnIds)
            val reply = peer.callBlocking(loop, TurnMethods.fetch, request, CALL_TIMEOUT_MILLIS).fold({ it }, { return Err(it) })
            if (!storeRecords(reply.turns.map { StoredRecord(turn = it) })) return Err(diskFailure())
            missingTurnIds = missingTurnIds.drop(reply.handled.coerceAtLeast(1))
        }
        return Ok(Unit)
    }

    private fun storeRecords(records: List<StoredRecord>): Boolean {
        val stored = CompletableFuture<Boolean>()
        loop.execute { repository.importRecords(records) { stored.complete(it) } }
        return try {
            stored.get(DISK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            // The disk has stalled; the copy is resumed later, and the calling function reports the failed write.
            false
        }
    }

    private fun diskFailure() = StepError("adopt", ownHost.name, "write to the turn log failed")

    private fun <T> onLoop(task: () -> T): T = loop.submit(task).get()

    private companion object {
        /** Ten times the transfer time of a half-megabyte page over a host's slowest link. */
        const val CALL_TIMEOUT_MILLIS = 1_500L

        /** Disks may stall for several seconds. */
        const val DISK_TIMEOUT_MILLIS = 10_000L
    }
}
