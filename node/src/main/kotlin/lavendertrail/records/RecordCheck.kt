package lavendertrail.records

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.json.JsonMapper
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.networknt.schema.JsonSchema
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.SpecVersion
import com.networknt.schema.ValidationMessage
import lavendertrail.config.RecordKind
import lavendertrail.config.supportedSchemaVersions
import java.util.concurrent.ConcurrentHashMap

private val mapper = JsonMapper.builder().enable(com.fasterxml.jackson.core.json.JsonReadFeature.ALLOW_JAVA_COMMENTS).build()
private val schemaFactory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
private val schemaCache = ConcurrentHashMap<String, JsonSchema>()

/** Field that holds the record's name, by kind; `name` for all other kinds. */
private val nameFields =
    mapOf(
        RecordKind.OWNER to "owner",
        RecordKind.ACCOUNT to "account",
        RecordKind.CALLER to "caller",
        RecordKind.PRIORITY to "serviceClass",
        RecordKind.SERVER to "server",
        RecordKind.TOOL to "tool",
        RecordKind.MODEL to "model",
    )

/**
 * Checks a configuration record against the JSON Schema of its kind and version. A record with any problem is rejected as
 * a whole.
 *
 * ```kotlin
 * checkRecord("owner", "barakah", """{"schemaVersion":1,"owner":"barakah","region":"batinah","weight":0}""")
 * // Err([RecordProblem(path=$.weight, value=0, allowed=must have a minimum value of 1)])
 * ```
 */
public fun checkRecord(
    kindKey: String,
    name: String,
    json: String,
): Result<Unit, List<RecordProblem>> {
    val kind = RecordKind.ofKeyOrNull(kindKey) ?: return singleProblem("kind", kindKey, RecordKind.entries.joinToString { it.key })
    val node =
        try {
            mapper.readTree(json)
        } catch (e: JsonProcessingException) {
            return singleProblem("$", json.take(MAX_QUOTED_CHARS), "a JSON object: ${e.originalMessage}")
        }
    val version = node?.get("schemaVersion")?.takeIf { it.isInt }?.intValue()
    val versions = supportedSchemaVersions(kind)
    return when {
        node == null || !node.isObject -> singleProblem("$", json.take(MAX_QUOTED_CHARS), "a JSON object")
        version !in versions -> singleProblem("$.schemaVersion", node["schemaVersion"].quoted(), "one of ${versions.joinToString()}")
        else -> checkFields(kind, version ?: 0, name, node)
    }
}

private const val MAX_QUOTED_CHARS = 80

private fun checkFields(
    kind: RecordKind,
    version: Int,
    name: String,
    node: JsonNode,
): Result<Unit, List<RecordProblem>> {
    val problems = loadSchema(kind, version).validate(node).map { it.toProblem(node) } + nameProblems(kind, name, node)
    return if (problems.isEmpty()) Ok(Unit) else Err(problems)
}

private fun nameProblems(
    kind: RecordKind,
    name: String,
    node: JsonNode,
): List<RecordProblem> {
    val field = nameFields[kind] ?: "name"
    val value = node[field]
    return if (value?.textValue() == name) emptyList() else listOf(RecordProblem("$.$field", value.quoted(), "the record's name '$name'"))
}

private fun loadSchema(
    kind: RecordKind,
    version: Int,
): JsonSchema =
    schemaCache.computeIfAbsent("${kind.key}-v$version") { file ->
        val resource = requireNotNull(RecordProblem::class.java.getResource("/schemas/$file.json")) { "no schema file for '$file'" }
        schemaFactory.getSchema(resource.readText())
    }

private fun ValidationMessage.toProblem(node: JsonNode): RecordProblem {
    val path = instanceLocation.toString()
    return RecordProblem(path, instanceNode.quoted(), message.removePrefix("$path: "))
}

private fun JsonNode?.quoted(): String = this?.toString()?.take(MAX_QUOTED_CHARS) ?: "missing"

private fun singleProblem(
    path: String,
    value: String,
    allowed: String,
): Result<Unit, List<RecordProblem>> = Err(listOf(RecordProblem(path, value, allowed)))
