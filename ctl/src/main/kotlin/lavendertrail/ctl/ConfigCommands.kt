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
        throw CommandExit("$what is not JSON: ${e.message.orEmpty().lineSequence().first()}")
    }

internal fun Console.print(element: JsonElement): Unit = out.println(prettyJson.encodeToString(JsonElement.serializer(), element))

private fun CurrentRecord.toJson(): JsonObject =
    buildJsonObject {
        put("kind", kind)
        put("name", name)
        put("revision", revision)
        put("record", record ?: JsonNull)
    }

private class ConfigGet : NodeCommand("config get", "Show one record, or list the records of one kind or all kinds") {
    private val kind by parser.argument(PositionalString, "KIND", "Kind of record").optional()
    private val record by parser.argument(PositionalString, "NAME", "Name of the record").optional()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val config = ConfigClient(client)
        val name = record
        if (name != null) {
            val found = config.get(kind.orEmpty(), name)
            if (found.record == null) throw CommandExit("there is no record '${found.id}'")
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
    private val kind by parser.argument(PositionalString, "KIND", "Kind of record")
    private val record by parser.argument(PositionalString, "NAME", "Name of the record")
    private val text by parser.argument(PositionalString, "RECORD", "The record as JSON").optional()
    private val file by parser.option(ArgType.String, "file", "f", "File with the record, JSON with comments")
    private val revision by parser.option(
        ArgType.Int,
        "revision",
        description = "Revision that the change is based on; defaults to the current one",
    )

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val source = text ?: file?.let(::readFile) ?: throw usageError("RECORD or --file is missing")
        requireValidRecord(kind, record, source)
        val config = ConfigClient(client)
        val base = revision?.toLong() ?: config.get(kind, record).revision
        val written = config.write(kind, record, base, parseJson(source, "record").asObject("record"))
        if (json) console.print(written.toJson()) else console.out.println("${written.id} written, revision $base -> ${written.revision}")
    }
}

private class ConfigDiff : NodeCommand("config diff", "Show the differences between the current record and a file") {
    private val kind by parser.argument(PositionalString, "KIND", "Kind of record")
    private val record by parser.argument(PositionalString, "NAME", "Name of the record")
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

private class ConfigHistory : NodeCommand("config history", "List the changes of a record with their operators and times") {
    private val kind by parser.argument(PositionalString, "KIND", "Kind of record")
    private val record by parser.argument(PositionalString, "NAME", "Name of the record")

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
            console.out.println("${formatInstant(change.atMillis)} ${change.operator} revision ${change.beforeRevision} -> $after")
            jsonDiff(change.before, change.after).forEach { console.out.println("  $it") }
        }
    }
}

/** One entry of a `config apply` file. */
private class DesiredRecord(
    val kind: String,
    val name: String,
    val record: JsonObject,
)

/** Validates all records of the file before it writes the first one. */
private class ConfigApply : NodeCommand("config apply", "Write all records of a file that differ from the current ones") {
    private val file by
        parser.option(ArgType.String, "file", "f", "JSON with comments: [{\"kind\":..., \"name\":..., \"record\":{...}}]").required()

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val desired = parseDesiredRecords(parseJson(readFile(file), "file '$file'"))
        desired.forEach { requireValidRecord(it.kind, it.name, it.record.toString()) }
        val config = ConfigClient(client)
        val results =
            buildJsonArray {
                desired.forEach { entry ->
                    val current = config.get(entry.kind, entry.name)
                    val changed = current.record != entry.record
                    val result = if (changed) config.write(entry.kind, entry.name, current.revision, entry.record) else current
                    if (!json) console.out.println("${result.id} ${if (changed) "written" else "unchanged"}, revision ${result.revision}")
                    add(JsonObject(result.toJson() + ("changed" to kotlinx.serialization.json.JsonPrimitive(changed))))
                }
            }
        if (json) console.print(results)
    }

    private fun parseDesiredRecords(content: JsonElement): List<DesiredRecord> =
        (content as? JsonArray ?: JsonArray(listOf(content))).map { entry ->
            val fields = entry.asObject("entry of '$file'")
            DesiredRecord(
                kind = fields.stringField("kind") ?: throw CommandExit("an entry of '$file' has no field 'kind'"),
                name = fields.stringField("name") ?: throw CommandExit("an entry of '$file' has no field 'name'"),
                record = fields["record"] as? JsonObject ?: throw CommandExit("an entry of '$file' has no object 'record'"),
            )
        }
}

private class ConfigRollback : NodeCommand("config rollback", "Restore a record to its content before its last change") {
    private val kind by parser.argument(PositionalString, "KIND", "Kind of record")
    private val record by parser.argument(PositionalString, "NAME", "Name of the record")
    private val to by parser.option(ArgType.Int, "to", description = "Revision to restore instead")

    override fun execute(
        console: Console,
        client: AdminClient,
    ) {
        val config = ConfigClient(client)
        val current = config.get(kind, record)
        val changes = config.history(kind, record)
        val targetRevision = to?.toLong()
        val content =
            if (targetRevision == null) {
                (
                    changes.lastOrNull { it.afterRevision == current.revision }
                        ?: changes.lastOrNull { current.revision == 0L && it.after == null }
                ).orFail("revision ${current.revision} of ${current.id} has no audit entry")
                    .before
            } else {
                changes
                    .find { it.afterRevision == targetRevision }
                    .orFail("no audit entry of ${current.id} has revision $targetRevision")
                    .after
            }
        val written = config.write(kind, record, current.revision, content)
        if (json) {
            console.print(written.toJson())
        } else {
            val outcome =
                if (content == null) "deleted, as before" else "brought back, revision ${current.revision} -> ${written.revision}"
            console.out.println("$kind/$record $outcome")
        }
    }

    private fun AuditedChange?.orFail(message: String): AuditedChange = this ?: throw CommandExit(message)
}
