package lavendertrail.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import lavendertrail.model.AccountId
import lavendertrail.model.OwnerId
import lavendertrail.model.ProgramId
import lavendertrail.model.ServiceClass

/** What is remembered of a program for ranking. [attainedMillis] is the engine time that its calls took. */
internal data class ProgramService(
    val serviceClass: ServiceClass,
    val attainedMillis: Double = 0.0,
)

/**
 * Attained service of owners, accounts and programs, in milliseconds of engine time over weight.
 *
 * Whoever has none running or waiting earns no credit: on its return it starts from the level of the one that was
 * served last, so that a long idle account can't take the servers for itself.
 */
internal data class FairShare(
    private val owners: PersistentMap<OwnerId, Double> = persistentHashMapOf(),
    private val accounts: PersistentMap<AccountId, Double> = persistentHashMapOf(),
    private val active: PersistentMap<AccountId, Int> = persistentHashMapOf(),
    private val activeOwners: PersistentMap<OwnerId, Int> = persistentHashMapOf(),
    private val ownerFloor: Double = 0.0,
    private val accountFloors: PersistentMap<OwnerId, Double> = persistentHashMapOf(),
    private val programs: GenerationMap<ProgramId, ProgramService> = GenerationMap(limit = 20_000),
) {
    fun ofOwner(owner: OwnerId): Double = owners[owner] ?: ownerFloor

    fun ofAccount(account: AccountId): Double = accounts[account] ?: 0.0

    fun ofProgram(program: ProgramId): ProgramService? = programs[program]

    fun withProgram(
        program: ProgramId,
        service: ProgramService,
    ): FairShare = copy(programs = programs.put(program, service))

    /** A call of [account] is dispatched. */
    fun entered(
        owner: OwnerId,
        account: AccountId,
    ): FairShare {
        val inAccount = active[account] ?: 0
        val inOwner = activeOwners[owner] ?: 0
        return copy(
            active = active.put(account, inAccount + 1),
            activeOwners = activeOwners.put(owner, inOwner + 1),
            accounts = if (inAccount > 0) accounts else accounts.put(account, maxOf(ofAccount(account), accountFloors[owner] ?: 0.0)),
            owners = if (inOwner > 0) owners else owners.put(owner, maxOf(ofOwner(owner), ownerFloor)),
        )
    }

    /** A call of [account] is finished. */
    fun left(
        owner: OwnerId,
        account: AccountId,
    ): FairShare = copy(active = active.minusOne(account), activeOwners = activeOwners.minusOne(owner))

    /** A call is started: the levels of its owner and account become the floor for those that return. */
    fun served(
        owner: OwnerId,
        account: AccountId,
    ): FairShare =
        copy(
            ownerFloor = maxOf(ownerFloor, ofOwner(owner)),
            accountFloors = accountFloors.put(owner, maxOf(accountFloors[owner] ?: 0.0, ofAccount(account))),
        )

    /** Adds [serviceMillis], which is negative where an estimate was too high. */
    fun charged(
        owner: OwnerId,
        ownerWeight: Int,
        account: AccountId,
        accountWeight: Int,
        program: ProgramId,
        serviceMillis: Double,
    ): FairShare {
        val service = programs[program]
        return copy(
            owners = owners.put(owner, ofOwner(owner) + serviceMillis / ownerWeight.coerceAtLeast(1)),
            accounts = accounts.put(account, ofAccount(account) + serviceMillis / accountWeight.coerceAtLeast(1)),
            programs =
                if (service == null) {
                    programs
                } else {
                    programs.put(program, service.copy(attainedMillis = maxOf(0.0, service.attainedMillis + serviceMillis)))
                },
        )
    }

    fun forgotten(program: ProgramId): FairShare = copy(programs = programs.remove(program))

    private fun <K> PersistentMap<K, Int>.minusOne(key: K): PersistentMap<K, Int> {
        val left = (this[key] ?: return this) - 1
        return if (left <= 0) remove(key) else put(key, left)
    }
}
