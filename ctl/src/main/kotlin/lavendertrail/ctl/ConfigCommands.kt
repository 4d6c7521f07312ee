package lavendertrail.ctl

import kotlinx.cli.ArgType
import kotlinx.cli.optional
import kotlinx.cli.required
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

internal fun configCommands(): List<Command> =
    listOf(ConfigGet(), ConfigSet(), ConfigDiff(), ConfigHistory(), ConfigApply(), ConfigRollback(), ConfigStatus())

internal val prettyJson =
    Json {
        prettyPrint = true
        prettyPrintIndent = "  "
    }

private val commentedJson = Json { allowComments = true }

internal fun parseJson(
    text: String,
    what: String,
): JsonElement =
    try {
        commentedJson.parseToJsonElement(text)
    } catch (e: SerializationException) {
        throw CommandEnd("$what is not JSON: ${e.message.orEmpty().lineSequence().first()}")
    }

internal fun Console.print(element: JsonElement): Unit = out.println(prettyJson.encodeToString(JsonElement.serializer(), element))

private fun StandingRecord.toJson(): JsonObject =
    buildJsonObject {
        put("kind", kind)
        put("name", name)
        put("revision", revision)
        put("record", record ?: JsonNull)
    }

private class ConfigGet : NodeCommand("config get", "Show one record, or list records by kind and revision") {
    private val kind by parser.argument(Word, "KIND", "Kind of record").optional()
    private val record by parser.argument(Word, "NAME", "Name of the record").optional()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val config = ConfigClient(client)
        val name = record
        if (name != null) {
            val found = config.get(kind.orEmpty(), name)
            if (found.record == null) throw CommandEnd("there is no record '${found.id}'")
            console.print(found.toJson())
            return
        }
        val found = config.list(kind)
        if (json) {
            console.print(
                JsonArray(found.map { it.toJson() }),
            )
        } else {
            found.forEach { console.out.println("${it.id} revision ${it.revision}") }
        }
    }
}

private class ConfigSet : NodeCommand("config set", "Write one record if it still has the revision that was read") {
    private val kind by parser.argument(Word, "KIND", "Kind of record")
    private val record by parser.argument(Word, "NAME", "Name of the record")
    private val text by parser.argument(Word, "RECORD", "The record as JSON").optional()
    private val file by parser.option(ArgType.String, "file", "f", "File with the record, JSON with comments")
    private val revision by parser.option(
        ArgType.Int,
        "revision",
        description = "Revision that the change is based on; without it the one that stands",
    )

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val source = text ?: file?.let(::readFile) ?: throw usageError("RECORD or --file is missing")
        refuseProblems(kind, record, source)
        val config = ConfigClient(client)
        val base = revision?.toLong() ?: config.get(kind, record).revision
        val written = config.write(kind, record, base, parseJson(source, "record").asObject("record"))
        if (json) console.print(written.toJson()) else console.out.println("${written.id} written, revision $base -> ${written.revision}")
    }
}

private class ConfigDiff : NodeCommand("config diff", "Show what differs between the record that stands and a file") {
    private val kind by parser.argument(Word, "KIND", "Kind of record")
    private val record by parser.argument(Word, "NAME", "Name of the record")
    private val file by parser.option(ArgType.String, "file", "f", "File with the record, JSON with comments").required()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val differences = jsonDiff(ConfigClient(client).get(kind, record).record, parseJson(readFile(file), "file '$file'"))
        if (json) {
            console.print(prettyJson.encodeToJsonElement(ListSerializer(JsonDifference.serializer()), differences))
        } else {
            differences.forEach { console.out.println(it) }
        }
    }
}

private class ConfigHistory : NodeCommand("config history", "List who changed a record, when and what") {
    private val kind by parser.argument(Word, "KIND", "Kind of record")
    private val record by parser.argument(Word, "NAME", "Name of the record")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val changes = ConfigClient(client).history(kind, record)
        if (json) {
            console.print(client.get("/v1/admin/config/$kind/$record/history"))
            return
        }
        changes.forEach { change ->
            val after = change.afterRevision?.toString() ?: "unknown"
            console.out.println("${instant(change.atMillis)} ${change.operator} revision ${change.beforeRevision} -> $after")
            jsonDiff(change.before, change.after).forEach { console.out.println("  $it") }
        }
    }
}

/** One entry of a file for `config apply`. */
private class Wanted(
    val kind: String,
    val name: String,
    val record: JsonObject,
)

/** All records of the file are checked before the first is written. */
private class ConfigApply : NodeCommand("config apply", "Write all records of a file that differ from those that stand") {
    private val file by
        parser.option(ArgType.String, "file", "f", "JSON with comments: [{\"kind\":..., \"name\":..., \"record\":{...}}]").required()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val wanted = read(parseJson(readFile(file), "file '$file'"))
        wanted.forEach { refuseProblems(it.kind, it.name, it.record.toString()) }
        val config = ConfigClient(client)
        val results =
            buildJsonArray {
                wanted.forEach { entry ->
                    val standing = config.get(entry.kind, entry.name)
                    val changed = standing.record != entry.record
                    val now = if (changed) config.write(entry.kind, entry.name, standing.revision, entry.record) else standing
                    if (!json) console.out.println("${now.id} ${if (changed) "written" else "unchanged"}, revision ${now.revision}")
                    add(JsonObject(now.toJson() + ("changed" to kotlinx.serialization.json.JsonPrimitive(changed))))
                }
            }
        if (json) console.print(results)
    }

    private fun read(content: JsonElement): List<Wanted> =
        (content as? JsonArray ?: JsonArray(listOf(content))).map { entry ->
            val fields = entry.asObject("entry of '$file'")
            Wanted(
                kind = fields.text("kind") ?: throw CommandEnd("an entry of '$file' has no field 'kind'"),
                name = fields.text("name") ?: throw CommandEnd("an entry of '$file' has no field 'name'"),
                record = fields["record"] as? JsonObject ?: throw CommandEnd("an entry of '$file' has no object 'record'"),
            )
        }
}

private class ConfigRollback : NodeCommand("config rollback", "Bring back what a record was before its last change") {
    private val kind by parser.argument(Word, "KIND", "Kind of record")
    private val record by parser.argument(Word, "NAME", "Name of the record")
    private val to by parser.option(ArgType.Int, "to", description = "Revision to bring back instead")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val config = ConfigClient(client)
        val standing = config.get(kind, record)
        val changes = config.history(kind, record)
        val wanted = to?.toLong()
        val content =
            if (wanted == null) {
                (
                    changes.lastOrNull { it.afterRevision == standing.revision }
                        ?: changes.lastOrNull { standing.revision == 0L && it.after == null }
                ).orFail("revision ${standing.revision} of ${standing.id} has no audit entry")
                    .before
            } else {
                changes.find { it.afterRevision == wanted }.orFail("no audit entry of ${standing.id} has revision $wanted").after
            }
        val now = config.write(kind, record, standing.revision, content)
        if (json) {
            console.print(now.toJson())
        } else {
            val what = if (content == null) "deleted, as before" else "brought back, revision ${standing.revision} -> ${now.revision}"
            console.out.println("$kind/$record $what")
        }
    }

    private fun AuditedChange?.orFail(message: String): AuditedChange = this ?: throw CommandEnd(message)
}
