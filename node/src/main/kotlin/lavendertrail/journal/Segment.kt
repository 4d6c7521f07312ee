package lavendertrail.journal

import java.io.IOException
import java.nio.file.Path

private const val SUFFIX = ".seg"
private const val NAME_DIGITS = 19

/** Entries per indexed offset. For 64 MB of 1 KB entries the index takes 8 KB of memory, and a read skips at most 63 frames. */
private const val OFFSET_STEP = 64

internal fun segmentName(base: Long) = base.toString().padStart(NAME_DIGITS, '0') + SUFFIX

internal fun segmentBaseOrNull(name: String) = if (name.endsWith(SUFFIX)) name.removeSuffix(SUFFIX).toLongOrNull() else null

/** A file of consecutive entries that starts at index [base]. [nextIndex] and [sizeBytes] refer to the end of the last whole frame. */
internal class Segment(
    val path: Path,
    val base: Long,
) {
    var nextIndex = base
        private set
    var sizeBytes = 0L
        private set
    var lastEpoch = 0L
        private set
    private var scanned = false
    private var scanDamage: CopyDamage? = null
    private var offsets = LongArray(1)
    private var offsetCount = 0

    /** Describes what follows the last whole frame: nothing, a [torn] frame, or bytes that are [corrupt]. */
    class Tail(
        val torn: Boolean = false,
        val corrupt: String? = null,
    )

    /** Assumes, until the first read verifies it, that the file holds all entries up to [next]. */
    fun assumeFilledTo(next: Long) {
        nextIndex = next
        scanned = false
    }

    /** Reads the whole file and verifies every frame. */
    fun scan(file: JournalFile): Tail {
        reset()
        val reader = FrameReader(file)
        while (true) {
            val frame = reader.readAt(sizeBytes)
            when (frame) {
                is FrameRead.End -> return Tail()
                is FrameRead.Torn -> return Tail(torn = true)
                is FrameRead.Corrupt -> return Tail(corrupt = frame.message)
                is FrameRead.Whole -> {
                    if (indexOf(frame.payload) != nextIndex) return Tail(corrupt = "expected entry $nextIndex at byte $sizeBytes")
                    addFrame(frame.nextOffset - sizeBytes, epochOf(frame.payload))
                }
            }
        }
    }

    /** Passes entries from [fromIndex] on to [consume] until it returns false. Returns any damage found, even after these entries. */
    fun read(
        file: JournalFile,
        fromIndex: Long,
        consume: (JournalEntry, Int) -> Boolean,
    ): CopyDamage? {
        val damage = scanIfNeeded(file)
        if (damage != null && fromIndex >= damage.fromIndex) return damage
        val reader = FrameReader(file, minOf(sizeBytes, file.size()))
        var offset = startOffset(fromIndex)
        var index = startIndex(fromIndex)
        while (index < nextIndex) {
            val frame = reader.readAt(offset)
            if (frame !is FrameRead.Whole) return CopyDamage(index, (frame as? FrameRead.Corrupt)?.message ?: "file ends at byte $offset")
            if (index >= fromIndex) {
                val entry = decodeEntryOrNull(frame.payload)
                if (entry?.index != index) return CopyDamage(index, "expected entry $index at byte $offset")
                if (!consume(entry, frame.payload.size)) return damage
            }
            offset = frame.nextOffset
            index++
        }
        return damage
    }

    /** Removes entries from index [to] on; the caller truncates the file to the new [sizeBytes]. */
    fun truncateTo(
        file: JournalFile,
        to: Long,
    ) {
        scanIfNeeded(file)
        val reader = FrameReader(file, sizeBytes)
        val kept = Segment(path, base)
        while (kept.nextIndex < to) {
            val frame = reader.readAt(kept.sizeBytes) as? FrameRead.Whole
            if (frame == null) throw IOException("entry ${kept.nextIndex} of $path can't be read")
            kept.addFrame(frame.nextOffset - kept.sizeBytes, epochOf(frame.payload))
        }
        nextIndex = kept.nextIndex
        sizeBytes = kept.sizeBytes
        lastEpoch = kept.lastEpoch
        offsets = kept.offsets
        offsetCount = kept.offsetCount
        scanDamage = null
    }

    fun addFrame(
        frameBytes: Long,
        epoch: Long,
    ) {
        if ((nextIndex - base) % OFFSET_STEP == 0L) {
            if (offsetCount == offsets.size) offsets = offsets.copyOf(offsets.size * 2)
            offsets[offsetCount++] = sizeBytes
        }
        scanned = true
        sizeBytes += frameBytes
        nextIndex++
        lastEpoch = epoch
    }

    /** Scans the file on first use and returns damage if it holds fewer whole entries than assumed. */
    fun scanIfNeeded(file: JournalFile): CopyDamage? {
        if (scanned) return scanDamage
        val assumed = nextIndex
        val tail = scan(file)
        val isWhole = nextIndex >= assumed && tail.corrupt == null && !tail.torn
        if (!isWhole) scanDamage = CopyDamage(nextIndex, tail.corrupt ?: "segment ${path.fileName} ends before entry $assumed")
        return scanDamage
    }

    private fun startOffset(index: Long) = offsets[((index - base) / OFFSET_STEP).toInt()]

    private fun startIndex(index: Long) = index - (index - base) % OFFSET_STEP

    private fun reset() {
        nextIndex = base
        sizeBytes = 0
        lastEpoch = 0
        offsetCount = 0
        scanned = true
    }
}
