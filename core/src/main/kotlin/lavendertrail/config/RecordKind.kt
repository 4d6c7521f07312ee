package lavendertrail.config

/** Kinds of configuration records; [key] is the kind's name in storage keys and commands. */
public enum class RecordKind(
    public val key: String,
) {
    OWNER("owner"),
    ACCOUNT("account"),
    CALLER("caller"),
    ASSISTANT("assistant"),
    HELPER("helper"),
    BUDGET("budget"),
    PRIORITY("priority"),
    PROGRAM("program"),
    SERVER("server"),
    TOOL("tool"),
    MODEL("model"),
    ;

    public companion object {
        public fun ofKeyOrNull(key: String): RecordKind? = entries.find { it.key == key }
    }
}
