package lavendertrail.journal

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

@OptIn(ExperimentalSerializationApi::class)
internal val journalCbor = Cbor { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal fun encodeEntry(entry: JournalEntry): ByteArray = journalCbor.encodeToByteArray(JournalEntry.serializer(), entry)

@OptIn(ExperimentalSerializationApi::class)
internal fun decodeEntry(bytes: ByteArray): JournalEntry = journalCbor.decodeFromByteArray(JournalEntry.serializer(), bytes)
