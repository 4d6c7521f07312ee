package lavendertrail.ctl

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** The admin API of two nodes, `one:1` and `two:2`, which share one set of configuration records. */
internal class FakeAdmin {
    val records = sortedMapOf<String, Pair<Long, JsonObject>>()
    val audit = mutableListOf<JsonObject>()
    val billLines = mutableMapOf("one:1" to emptyList<String>(), "two:2" to emptyList())
    val requests = mutableListOf<String>()
    val answers = mutableMapOf<String, JsonElement>()
    val appliedRevision = mutableMapOf<String, Long>()
    val unreachable = mutableSetOf<String>()

    /** Runs before a record is written, to simulate a concurrent change of another operator. */
    var beforePut: () -> Unit = {}
    private var revision = 0L

    val http: HttpHandler = { request ->
        val address = request.uri.authority
        if (address in unreachable) throw java.net.ConnectException("$address is down")
        requests += "${request.method} $address${request.uri.path} ${request.bodyString()}".trim()
        answer(request, address)
    }

    fun change(
        operator: String,
        key: String,
        record: JsonObject?,
    ) {
        val before = records[key]
        revision += 1
        if (record == null) records.remove(key) else records[key] = revision to record
        audit +=
            buildJsonObject {
                put("atMillis", revision * 1_000)
                put("operator", operator)
                put("kind", key.substringBefore('/'))
                put("name", key.substringAfter('/'))
                put("before", before?.second ?: JsonNull)
                put("after", record ?: JsonNull)
                put("beforeRevision", before?.first ?: 0)
                put("afterRevision", if (record == null) null else revision)
            }
    }

    private fun answer(
        request: Request,
        address: String,
    ): Response {
        val path = request.uri.path.removePrefix("/v1/admin/")
        val key = path.removePrefix("config/")
        return when {
            request.header("Authorization") != "Bearer secret" -> text(Status.UNAUTHORIZED, "{\"message\":\"no operator has this token\"}")
            path in answers -> text(Status.OK, answers.getValue(path).toString())
            path == "dump" -> text(Status.OK, dump(address))
            path == "bill" -> text(Status.OK, billLines.getValue(address).joinToString("") { "$it\n" })
            path == "config" -> text(Status.OK, buildJsonArray { records.keys.forEach { add(recordJson(it)) } }.toString())
            path == "config-status" -> text(Status.OK, status(address))
            path.endsWith("/history") -> text(Status.OK, history(key.removeSuffix("/history")))
            !path.startsWith("config/") -> text(Status.NOT_FOUND, "{\"message\":\"no such route\"}")
            request.method == Method.GET ->
                if (key in records) text(Status.OK, recordJson(key).toString()) else text(Status.NOT_FOUND, "{}")
            else -> write(request, key)
        }
    }

    private fun write(
        request: Request,
        key: String,
    ): Response {
        beforePut()
        val body = Json.parseToJsonElement(request.bodyString()).jsonObject
        val won = (records[key]?.first ?: 0) == body.getValue("revision").jsonPrimitive.long
        if (won) change("me", key, body["record"]?.jsonObject)
        val answer =
            buildJsonObject {
                put("changed", won)
                put("current", if (key in records) recordJson(key) else JsonNull)
            }
        return text(if (won) Status.OK else Status.CONFLICT, answer.toString())
    }

    private fun recordJson(key: String): JsonObject =
        buildJsonObject {
            put("kind", key.substringBefore('/'))
            put("name", key.substringAfter('/'))
            put("revision", records.getValue(key).first)
            put("record", records.getValue(key).second)
        }

    private fun history(key: String): String =
        buildJsonArray { audit.filter { "${it.stringField("kind")}/${it.stringField("name")}" == key }.forEach { add(it) } }.toString()

    private fun status(address: String): String =
        buildJsonObject {
            put("revision", appliedRevision[address] ?: revision)
            put("appliedAtMillis", revision * 1_000 + address.length)
        }.toString()

    private fun dump(address: String): String =
        buildJsonObject {
            put("node", address.substringBefore(':'))
            putJsonArray("peers") {
                listOf("one:1", "two:2").filter { it != address }.forEach { peer ->
                    add(
                        buildJsonObject {
                            put("node", peer.substringBefore(':'))
                            put("apiAddress", peer)
                        },
                    )
                }
            }
        }.toString()

    private fun text(
        status: Status,
        body: String,
    ): Response = Response(status).body(body)
}

internal class CommandResult(
    val code: Int,
    val out: String,
    val err: String,
)

internal fun FakeAdmin.ctl(vararg args: String): CommandResult {
    val out = ByteArrayOutputStream()
    val err = ByteArrayOutputStream()
    val environment = mapOf("LAVENDERTRAIL_NODE" to "one:1", "LAVENDERTRAIL_TOKEN" to "secret")
    val code = runCtl(args.toList(), Console(PrintStream(out), PrintStream(err), environment, http) { 5_000 })
    return CommandResult(code, out.toString(), err.toString())
}
