package lavendertrail.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

internal enum class SettingType(
    val description: String,
) {
    TEXT("text"),
    NUMBER("number"),
    BOOLEAN("true or false"),
    LIST("list"),
}

/** Description of one setting. [default] is null if the setting is required or is absent by default. */
internal data class SettingEntry(
    val name: String,
    val type: SettingType,
    val unit: String,
    val required: Boolean,
    val default: String?,
    val rule: SettingRule,
    val meaning: String,
)

private val UNITS_BY_SUFFIX =
    listOf("Millis" to "milliseconds", "Days" to "days", "Bytes" to "bytes", "Tokens" to "tokens", "Percent" to "percent")

private val defaultsJson = Json { encodeDefaults = true }

private val defaultSettings: JsonObject =
    defaultsJson
        .encodeToJsonElement(
            NodeSettings.serializer(),
            NodeSettings("", "", "", null, ApiSettings("", 0), PeerSettings("", 0), PlatformSettings("", "", "")),
        ).jsonObject

/** All settings in the order of their declaration. They are derived from [NodeSettings], so that none can be missing. */
internal val settingsCatalogue: List<SettingEntry> = collectEntries(NodeSettings.serializer().descriptor, "", defaultSettings)

@OptIn(ExperimentalSerializationApi::class)
private fun collectEntries(
    descriptor: SerialDescriptor,
    prefix: String,
    defaults: JsonObject,
): List<SettingEntry> =
    (0 until descriptor.elementsCount).flatMap { index ->
        val element = descriptor.getElementDescriptor(index)
        val key = descriptor.getElementName(index)
        val name = prefix + key
        if (element.kind == StructureKind.CLASS) {
            collectEntries(element, "$name.", defaults.getValue(key).jsonObject)
        } else {
            val settingText = settingTexts[name] ?: SettingText(SettingRule.Anything, "")
            val required = !descriptor.isElementOptional(index)
            listOf(
                SettingEntry(
                    name = name,
                    type = typeOf(element.kind),
                    unit = unitOf(key),
                    required = required,
                    default = if (required) null else formatDefault(defaults.getValue(key)),
                    rule = settingText.rule,
                    meaning = settingText.meaning,
                ),
            )
        }
    }

@OptIn(ExperimentalSerializationApi::class)
private fun typeOf(kind: SerialKind): SettingType =
    when (kind) {
        PrimitiveKind.STRING, SerialKind.ENUM -> SettingType.TEXT
        PrimitiveKind.BOOLEAN -> SettingType.BOOLEAN
        StructureKind.LIST -> SettingType.LIST
        else -> SettingType.NUMBER
    }

private fun formatDefault(value: JsonElement): String? = value.toString().removeSurrounding("\"").takeIf { it != "null" }

internal fun unitOf(key: String): String = UNITS_BY_SUFFIX.firstOrNull { key.endsWith(it.first) }?.second.orEmpty()

/** Content of docs/settings.md. */
internal fun settingsPage(): String =
    buildString {
        appendLine("# Settings")
        appendLine()
        appendLine(
            "A settings file is JSON with comments. `bin/lavendertrail check FILE` checks one. This page is generated from the code.",
        )
        appendLine()
        appendLine("| setting | type | unit | default | allowed | meaning |")
        appendLine("|---|---|---|---|---|---|")
        settingsCatalogue.forEach { entry ->
            val default = entry.default?.let { "`$it`" } ?: if (entry.required) "must be given" else "none"
            appendLine(
                "| `${entry.name}` | ${entry.type.description} | ${entry.unit} | $default | ${entry.rule.allowed} | ${entry.meaning} |",
            )
        }
    }
