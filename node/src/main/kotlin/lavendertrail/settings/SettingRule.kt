package lavendertrail.settings

/** Constraint on the value of a setting. [allowed] completes the sentence "must be ...". */
internal sealed interface SettingRule {
    val allowed: String

    fun accepts(value: String): Boolean

    data class Range(
        val range: LongRange,
    ) : SettingRule {
        override val allowed: String get() = "in ${range.first}..${range.last}"

        override fun accepts(value: String): Boolean = value.toLongOrNull()?.let { it in range } ?: false
    }

    data class Choice(
        val values: List<String>,
    ) : SettingRule {
        override val allowed: String get() = "one of ${values.joinToString(", ")}"

        override fun accepts(value: String): Boolean = value in values
    }

    data class Pattern(
        val regex: Regex,
        override val allowed: String,
    ) : SettingRule {
        override fun accepts(value: String): Boolean = regex.matches(value)
    }

    data object Ip : SettingRule {
        override val allowed: String get() = "an IP address such as 10.1.4.7, not a host name"

        override fun accepts(value: String): Boolean = isIpAddress(value)
    }

    data object Address : SettingRule {
        override val allowed: String get() = "an IP address and port such as 10.1.4.7:2379, not a host name"

        override fun accepts(value: String): Boolean {
            val port = value.substringAfterLast(':', "").toIntOrNull() ?: return false
            return port in 1..MAX_PORT && isIpAddress(value.substringBeforeLast(':').removeSurrounding("[", "]"))
        }
    }

    data object Anything : SettingRule {
        override val allowed: String get() = "any value"

        override fun accepts(value: String): Boolean = true
    }
}

internal const val MAX_PORT = 65_535

private val IPV4 = Regex("""(25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}""")
private val IPV6 = Regex("""[0-9a-fA-F:]{2,39}""")

/** Passes only hexadecimal digits and colons to the resolver, so that host names are never looked up. */
internal fun isIpAddress(value: String): Boolean =
    IPV4.matches(value) || (IPV6.matches(value) && ':' in value && runCatching { java.net.InetAddress.getByName(value) }.isSuccess)
