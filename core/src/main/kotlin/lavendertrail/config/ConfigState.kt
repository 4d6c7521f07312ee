package lavendertrail.config

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import lavendertrail.model.AccountId
import lavendertrail.model.ModelId
import lavendertrail.model.OwnerId
import lavendertrail.model.ServerId
import lavendertrail.model.ServiceClass
import lavendertrail.model.ToolId
import lavendertrail.reducer.StoredRecord

/**
 * The configuration in force at this node. [stored] holds every record as received, by `kind/name`; the typed maps hold
 * the records that could be decoded; [rejected] holds the error of each of the others.
 */
public data class ConfigState(
    public val headRevision: Long = 0,
    public val stored: PersistentMap<String, StoredRecord> = persistentMapOf(),
    public val owners: PersistentMap<OwnerId, OwnerRecord> = persistentMapOf(),
    public val accounts: PersistentMap<AccountId, AccountRecord> = persistentMapOf(),
    public val assistants: PersistentMap<String, AssistantRecord> = persistentMapOf(),
    public val callers: PersistentMap<String, CallerRecord> = persistentMapOf(),
    public val budgets: PersistentMap<String, BudgetRecord> = persistentMapOf(),
    public val priorities: PersistentMap<ServiceClass, PriorityRecord> = persistentMapOf(),
    public val programs: PersistentMap<String, ProgramRecord> = persistentMapOf(),
    public val servers: PersistentMap<ServerId, ServerRecord> = persistentMapOf(),
    public val tools: PersistentMap<ToolId, ToolRecord> = persistentMapOf(),
    public val models: PersistentMap<ModelId, ModelRecord> = persistentMapOf(),
    public val rejected: PersistentMap<String, String> = persistentMapOf(),
    public val appliedAtMillis: Long = 0,
    internal val fetchedAtMillis: Long = Long.MIN_VALUE / 2,
)
