package lavendertrail.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.isDirectory
import kotlin.io.path.isWritable
import kotlin.io.path.readText

@OptIn(ExperimentalSerializationApi::class)
private val settingsJson =
    Json {
        allowComments = true
        allowTrailingComma = true
    }

/** Reads and checks the settings in [file]. All problems are reported together. */
public fun readSettings(file: Path): Result<NodeSettings, List<SettingProblem>> {
    val text =
        try {
            file.readText()
        } catch (error: IOException) {
            return Err(listOf(SettingProblem("file", file.toString(), "failed to read: $error")))
        }
    return parseSettings(text)
}

/** Parses settings and checks everything that does not depend on the host. */
public fun parseSettings(text: String): Result<NodeSettings, List<SettingProblem>> {
    val root =
        try {
            settingsJson.parseToJsonElement(text) as? JsonObject
        } catch (error: SerializationException) {
            return Err(listOf(SettingProblem("file", null, "is not JSON: ${error.message.orEmpty().lineSequence().first()}")))
        } ?: return Err(listOf(SettingProblem("file", null, "must hold one JSON object")))
    val problems = findProblems(root)
    if (problems.isNotEmpty()) return Err(problems)
    return try {
        val settings = settingsJson.decodeFromJsonElement(NodeSettings.serializer(), root)
        val conflicts = findConflicts(settings)
        if (conflicts.isEmpty()) Ok(settings) else Err(conflicts)
    } catch (error: IllegalArgumentException) {
        Err(
            listOf(
                SettingProblem(
                    "file",
                    null,
                    error.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                ),
            ),
        )
    }
}

/** Checks what depends on the host: files must exist, folders must be writable, and ports must be free. */
public fun checkHost(settings: NodeSettings): List<SettingProblem> =
    listOfNotNull(
        findFolderProblem("dataFolder", settings.dataFolder),
        findFileProblem("api.tlsKeystoreFile", settings.api.tlsKeystoreFile),
        findFileProblem("api.tlsPasswordFile", settings.api.tlsPasswordFile),
        findFileProblem("peer.certificateFile", settings.peer.certificateFile),
        findFileProblem("peer.keyFile", settings.peer.keyFile),
        findFileProblem("peer.authorityFile", settings.peer.authorityFile),
        findPortProblem("api.port", settings.api.ip, settings.api.port),
        findPortProblem("peer.port", settings.peer.ip, settings.peer.port),
    )

private fun findProblems(root: JsonObject): List<SettingProblem> {
    val given = mutableMapOf<String, JsonElement>()
    val problems = mutableListOf<SettingProblem>()
    flatten(root, "", given, problems)
    settingsCatalogue.forEach { entry ->
        val value = given[entry.name]
        when {
            value == null && entry.required -> problems += SettingProblem(entry.name, null, "is missing, must be ${entry.rule.allowed}")
            value != null && (value != JsonNull || entry.default != null || entry.required) ->
                entry.findProblem(value)?.let { problems += it }
        }
    }
    return problems
}

private val groupNames = settingsCatalogue.map { it.name.substringBeforeLast('.', "") }.filter { it.isNotEmpty() }.toSet()
private val entriesByName = settingsCatalogue.associateBy { it.name }

private fun flatten(
    element: JsonObject,
    prefix: String,
    given: MutableMap<String, JsonElement>,
    problems: MutableList<SettingProblem>,
) {
    element.forEach { (key, value) ->
        val name = prefix + key
        when {
            name in entriesByName -> given[name] = value
            name !in groupNames -> problems += SettingProblem(name, abbreviate(value), "unknown key, allowed here: ${keysUnder(prefix)}")
            value is JsonObject -> flatten(value, "$name.", given, problems)
            else -> problems += SettingProblem(name, abbreviate(value), "must be an object with ${keysUnder("$name.")}")
        }
    }
}

private fun keysUnder(prefix: String): String =
    (entriesByName.keys + groupNames)
        .filter { it.startsWith(prefix) }
        .map { it.removePrefix(prefix).substringBefore('.') }
        .distinct()
        .joinToString(", ")

private fun SettingEntry.findProblem(value: JsonElement): SettingProblem? {
    val hasType =
        when (type) {
            SettingType.LIST -> value is JsonArray
            SettingType.TEXT -> value is JsonPrimitive && value.isString && value.content.isNotBlank()
            SettingType.NUMBER -> value is JsonPrimitive && !value.isString && value.content.toLongOrNull() != null
            SettingType.BOOLEAN -> value is JsonPrimitive && !value.isString && value.content.toBooleanStrictOrNull() != null
        }
    if (!hasType) return SettingProblem(name, abbreviate(value), "must be ${describeType()}")
    if (type == SettingType.LIST) return null
    return if (rule.accepts((value as JsonPrimitive).content)) null else SettingProblem(name, abbreviate(value), "must be ${rule.allowed}")
}

private fun SettingEntry.describeType(): String {
    val range = if (rule is SettingRule.Anything) "" else ", ${rule.allowed}"
    return when (type) {
        SettingType.NUMBER -> (if (unit.isEmpty()) "a whole number" else "a whole number of $unit without a unit") + range
        SettingType.TEXT -> "text in quotes$range"
        SettingType.BOOLEAN -> "true or false"
        SettingType.LIST -> "a list"
    }
}

/** Shows only the start of a value, since it may be a secret that was put under the wrong key. */
private fun abbreviate(value: JsonElement): String =
    value.toString().let { if (it.length > MAX_QUOTED_CHARS) it.take(MAX_QUOTED_CHARS) + "..." else it }

private const val MAX_QUOTED_CHARS = 60
private val SHA256 = Regex("[0-9a-fA-F]{64}")

/** Finds settings that are valid individually but not in combination. */
private fun findConflicts(settings: NodeSettings): List<SettingProblem> {
    val problems = mutableListOf<SettingProblem>()
    val peerFiles = listOf(settings.peer.certificateFile, settings.peer.keyFile, settings.peer.authorityFile)
    if (peerFiles.any { it != null } && peerFiles.any { it == null }) {
        problems +=
            SettingProblem("peer.certificateFile", settings.peer.certificateFile, "give all of certificateFile, keyFile, authorityFile")
    }
    if (peerFiles.all { it == null } && !InetAddress.getByName(settings.peer.ip).isLoopbackAddress) {
        problems += SettingProblem("peer.ip", settings.peer.ip, "must be a loopback address unless peer.certificateFile is given")
    }
    if ((settings.api.tlsKeystoreFile == null) != (settings.api.tlsPasswordFile == null)) {
        problems += SettingProblem("api.tlsPasswordFile", settings.api.tlsPasswordFile, "give both tlsKeystoreFile and tlsPasswordFile")
    }
    if (settings.api.maxOpenRequests >= settings.api.workerThreads) {
        problems +=
            SettingProblem("api.maxOpenRequests", "${settings.api.maxOpenRequests}", "must be below api.workerThreads")
    }
    if (settings.timing.leaseRenewMillis * 2 > settings.timing.leaseTtlMillis) {
        problems +=
            SettingProblem("timing.leaseRenewMillis", "${settings.timing.leaseRenewMillis}", "must be at most half of leaseTtlMillis")
    }
    settings.operators.filterNot { SHA256.matches(it.tokenSha256) }.forEach {
        problems += SettingProblem("operators", it.name, "tokenSha256 must be 64 hex digits, the SHA-256 of the token")
    }
    return problems
}

private fun findFileProblem(
    key: String,
    file: String?,
): SettingProblem? = if (file == null || Path.of(file).exists()) null else SettingProblem(key, file, "must be a file that exists")

private fun findFolderProblem(
    key: String,
    folder: String?,
): SettingProblem? {
    val path = Path.of(folder ?: return null).toAbsolutePath()
    val existing = generateSequence(path) { it.parent }.first { it.exists() }
    val usable = existing.isDirectory() && existing.isWritable()
    return if (usable) null else SettingProblem(key, folder, "must be a folder that this process may write to or create")
}

private fun findPortProblem(
    key: String,
    ip: String,
    port: Int,
): SettingProblem? =
    try {
        if (port != 0) ServerSocket(port, 1, InetAddress.getByName(ip)).close()
        null
    } catch (error: IOException) {
        SettingProblem(key, "$port", "must be a free port on $ip (${error.message})")
    }
