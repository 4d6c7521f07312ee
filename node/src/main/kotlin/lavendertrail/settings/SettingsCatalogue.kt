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
    val text: String,
) {
    TEXT("text"),
    NUMBER("number"),
    BOOLEAN("true or false"),
    LIST("list"),
}

/** One setting; [default] is null for a setting that must be given or that is absent by default. */
internal data class SettingEntry(
    val name: String,
    val type: SettingType,
    val unit: String,
    val required: Boolean,
    val default: String?,
    val rule: SettingRule,
    val text: String,
)

private val UNITS = listOf("Millis" to "milliseconds", "Days" to "days", "Bytes" to "bytes", "Tokens" to "tokens", "Percent" to "percent")

private val templateJson = Json { encodeDefaults = true }

private val template: JsonObject =
    templateJson
        .encodeToJsonElement(
            NodeSettings.serializer(),
            NodeSettings("", "", "", null, ApiSettings("", 0), PeerSettings("", 0), PlatformSettings("", "", "")),
        ).jsonObject

/** All settings in the order of their declaration, derived from [NodeSettings], so that none can be left out. */
internal val settingsCatalogue: List<SettingEntry> = entries(NodeSettings.serializer().descriptor, "", template)

@OptIn(ExperimentalSerializationApi::class)
private fun entries(
    descriptor: SerialDescriptor,
    prefix: String,
    defaults: JsonObject,
): List<SettingEntry> =
    (0 until descriptor.elementsCount).flatMap { index ->
        val element = descriptor.getElementDescriptor(index)
        val key = descriptor.getElementName(index)
        val name = prefix + key
        if (element.kind == StructureKind.CLASS) {
            entries(element, "$name.", defaults.getValue(key).jsonObject)
        } else {
            val described = settingTexts[name] ?: SettingText(SettingRule.Anything, "")
            val required = !descriptor.isElementOptional(index)
            listOf(
                SettingEntry(
                    name = name,
                    type = typeOf(element.kind),
                    unit = unitOf(key),
                    required = required,
                    default = if (required) null else shown(defaults.getValue(key)),
                    rule = described.rule,
                    text = described.text,
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

private fun shown(value: JsonElement): String? = value.toString().removeSurrounding("\"").takeIf { it != "null" }

internal fun unitOf(key: String): String = UNITS.firstOrNull { key.endsWith(it.first) }?.second.orEmpty()

/** Text of docs/settings.md. */
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
            appendLine("| `${entry.name}` | ${entry.type.text} | ${entry.unit} | $default | ${entry.rule.allowed} | ${entry.text} |")
        }
    }
