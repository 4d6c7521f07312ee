package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServiceClass

/** State of a program that ranking uses. [attainedMillis] is the engine time that its calls have consumed. */
internal data class ProgramService(
    val serviceClass: ServiceClass,
    val attainedMillis: Double = 0.0,
)

/**
 * Attained service of owners, accounts and programs, in milliseconds of engine time over weight.
 *
 * An owner or account without running or waiting calls accumulates no credit. When it becomes active again, its service
 * is raised to the level of the one that was served last, so that an account can't monopolize the servers after a long
 * idle time.
 */
internal data class FairShare(
    private val owners: PersistentMap<OwnerId, Double> = persistentHashMapOf(),
    private val accounts: PersistentMap<AccountId, Double> = persistentHashMapOf(),
    private val activeAccounts: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val activeOwners: PersistentMap<OwnerId, Int> = persistentHashMapOf(),
    private val ownerFloor: Double = 0.0,
    private val accountFloors: PersistentMap<OwnerId, Double> = persistentHashMapOf(),
    private val programs: GenerationMap<ProgramId, ProgramService> = GenerationMap(limit = 20_000),
) {
    fun ownerService(owner: OwnerId): Double = owners[owner] ?: ownerFloor

    fun accountService(account: AccountId): Double = accounts[account] ?: 0.0

    fun programService(program: ProgramId): ProgramService? = programs[program]

    fun withProgram(
        program: ProgramId,
        service: ProgramService,
    ): FairShare = copy(programs = programs.put(program, service))

    /** Counts a dispatched call. An owner or account that becomes active is raised to the floor. */
    fun withActiveCall(
        owner: OwnerId,
        account: AccountId,
    ): FairShare {
        val activeInAccount = activeAccounts[account] ?: 0
        val activeInOwner = activeOwners[owner] ?: 0
        return copy(
            activeAccounts = activeAccounts.put(account, activeInAccount + 1),
            activeOwners = activeOwners.put(owner, activeInOwner + 1),
            accounts =
                if (activeInAccount > 0) accounts else accounts.put(account, maxOf(accountService(account), accountFloors[owner] ?: 0.0)),
            owners = if (activeInOwner > 0) owners else owners.put(owner, maxOf(ownerService(owner), ownerFloor)),
        )
    }

    /** Removes a finished call from the counts. */
    fun withoutActiveCall(
        owner: OwnerId,
        account: AccountId,
    ): FairShare = copy(activeAccounts = activeAccounts.minusOne(account), activeOwners = activeOwners.minusOne(owner))

    /** Raises the floors to the service of the owner and account of a call that is started. */
    fun withRaisedFloors(
        owner: OwnerId,
        account: AccountId,
    ): FairShare =
        copy(
            ownerFloor = maxOf(ownerFloor, ownerService(owner)),
            accountFloors = accountFloors.put(owner, maxOf(accountFloors[owner] ?: 0.0, accountService(account))),
        )

    /** Adds [serviceMillis] over weight. A negative amount corrects an estimate that was too high. */
    fun withServiceCharged(
        owner: OwnerId,
        ownerWeight: Int,
        account: AccountId,
        accountWeight: Int,
        program: ProgramId,
        serviceMillis: Double,
    ): FairShare {
        val service = programs[program]
        return copy(
            owners = owners.put(owner, ownerService(owner) + serviceMillis / ownerWeight.coerceAtLeast(1)),
            accounts = accounts.put(account, accountService(account) + serviceMillis / accountWeight.coerceAtLeast(1)),
            programs =
                if (service == null) {
                    programs
                } else {
                    programs.put(program, service.copy(attainedMillis = maxOf(0.0, service.attainedMillis + serviceMillis)))
                },
        )
    }

    fun withoutProgram(program: ProgramId): FairShare = copy(programs = programs.remove(program))

    private fun <K> PersistentMap<K, Int>.minusOne(key: K): PersistentMap<K, Int> {
        val remaining = (this[key] ?: return this) - 1
        return if (remaining <= 0) remove(key) else put(key, remaining)
    }
}
