package lavendertrail.turns

import lavendertrail.model.FailureDomain
import lavendertrail.serving.TurnHost
import kotlin.random.Random

/**
 * A model of the list of turn hosts: hosts join, retire, are lost, are cut off and return, learn lists late, and make copies, in a
 * random order. Callers use lists of any age. Each budget use that gets a quorum must see all uses that got one before, and at the end
 * a use must succeed again once enough hosts have joined. Where [isCareless], changes are written without asking [ListStep].
 */
internal class ListModel(
    private val random: Random,
    private val tolerance: Int,
    private val isCareless: Boolean = false,
) {
    private class Host(
        val name: String,
        var firstRevision: Long,
    ) {
        var isLost = false
        var isCut = false
        var isSealed = false
        var knownRevision = firstRevision
        var settledRevision = 0L
        val uses = mutableSetOf<Int>()
        val isReachable get() = !isLost && !isCut
    }

    private val copies = tolerance + 1
    private val hosts = mutableMapOf<String, Host>()
    private val lists = sortedMapOf<Long, List<String>>()
    private val departed = mutableListOf<DepartedHost>()
    private val acknowledged = mutableSetOf<Int>()
    private val trace = mutableListOf<String>()
    private var nextHost = 0

    private val revision get() = lists.lastKey()
    private val members get() = lists.getValue(revision).map(hosts::getValue)
    private val reachable get() = members.filter { it.isReachable }

    init {
        lists[1] = List(2 * tolerance + 1) { newHost(1).apply { settledRevision = 1 }.name }
    }

    fun run() {
        repeat(STEPS) { act() }
        repair()
    }

    private fun act() {
        when (random.nextInt(9)) {
            0 -> join()
            1 -> members.random(random).let(::retire)
            2 -> if (mayLoseOne()) reachable.randomOrNull(random)?.let { lose(it) }
            3 -> if (mayLoseOne()) reachable.randomOrNull(random)?.let(::cut)
            4 ->
                hosts.values
                    .filter { it.isCut }
                    .randomOrNull(random)
                    ?.let(::heal)
            5 -> removeAbsent()
            6 -> hosts.values.random(random).let(::learn)
            7 -> members.random(random).let(::settle)
            else -> use(lists.keys.filter { it > revision - LIST_AGE }.random(random))
        }
    }

    /** Heals what can be healed and adds hosts, as the platform would, until a use must succeed. */
    private fun repair() {
        hosts.values.forEach { it.isCut = false }
        repeat(ROUNDS) {
            hosts.values.forEach(::learn)
            members.forEach(::settle)
            forgetDeparted()
            removeAbsent()
            if (reachable.size < 2 * tolerance + 1) join()
        }
        check(use(revision)) { "no use succeeds at the end: ${describe()}" }
    }

    private fun describe() = "members ${members.map { "${it.name}${if (it.isReachable) "" else "†"}" }}; $trace"

    private fun newHost(firstRevision: Long) = Host("h${nextHost++}", firstRevision).also { hosts[it.name] = it }

    private fun write(names: List<String>) {
        val next = revision + 1
        lists[next] = names
        trace += "list $next: $names"
    }

    private fun allows(change: ListChange): Boolean {
        if (isCareless) return true
        reachable.forEach(::learn)
        val states = reachable.associate { it.name to ListStateReply(it.knownRevision, it.settledRevision, it.firstRevision) }
        val listed = TurnHosts(members.map { TurnHost(it.name, it.name, FailureDomain("a")) }, tolerance, revision)
        return ListStep(listed, states, states.keys, departed).allows(change)
    }

    private fun join() {
        if (!allows(ListChange.JOIN)) return
        val sources = reachable
        if (sources.size < requiredSources(members.size, tolerance, isMember = false)) return
        val host = newHost(revision)
        sources.forEach { host.uses += it.uses }
        write(members.map { it.name } + host.name)
    }

    private fun retire(host: Host) {
        val others = members - host
        if (!host.isReachable || others.size < copies || others.any { !it.isReachable } || !allows(ListChange.RETIREMENT)) return
        host.isSealed = true
        others.forEach { it.uses += host.uses }
        write(others.map { it.name })
    }

    private fun removeAbsent() {
        val host = members.firstOrNull { !it.isReachable } ?: return
        if (reachable.size < 2 * tolerance || !allows(ListChange.REMOVAL)) return
        val others = (members - host).map { it.name }
        departed += DepartedHost(host.name, revision, others, 0)
        write(others)
    }

    private fun lose(host: Host) {
        host.isLost = true
        trace += "lose ${host.name}"
    }

    private fun cut(host: Host) {
        host.isCut = true
        trace += "cut ${host.name}"
    }

    private fun heal(host: Host) {
        host.isCut = false
        trace += "heal ${host.name}"
    }

    /** Whether one more host may be lost: those that are absent, and those whose copies aren't replaced, are fewer than tolerated. */
    private fun mayLoseOne(): Boolean {
        forgetDeparted()
        return members.count { !it.isReachable } + departed.size < tolerance
    }

    private fun forgetDeparted() {
        departed.removeAll { entry ->
            entry.pending.map(hosts::getValue).all { it.settledRevision > entry.listRevision && it.isReachable } ||
                members.filter { it.isReachable }.all { it.settledRevision == revision }
        }
    }

    private fun learn(host: Host) {
        if (host.isReachable) host.knownRevision = revision
    }

    private fun settle(host: Host) {
        if (!host.isReachable || host.knownRevision != revision) return
        val quorum = quorumOf(members.size, copies)
        for (use in host.uses) {
            val holders = reachable.filter { use in it.uses }
            (reachable - holders.toSet()).shuffled(random).take((quorum - holders.size).coerceAtLeast(0)).forEach { it.uses += use }
        }
        if (host.uses.all { use -> reachable.count { use in it.uses } >= quorum }) host.settledRevision = revision
    }

    /** Stores a use by the list of [listRevision]; false if it got no quorum. */
    private fun use(listRevision: Long): Boolean {
        // A host that is cut off from the store and the other hosts may still answer callers.
        val answering =
            lists.getValue(listRevision).map(hosts::getValue).filter { !it.isLost && !it.isSealed && it.knownRevision <= listRevision }
        val quorum = quorumOf(lists.getValue(listRevision).size, copies)
        if (answering.size < quorum) return false
        val asked = answering.shuffled(random).take(quorum)
        val seen = asked.flatMapTo(mutableSetOf()) { it.uses }
        val hidden = acknowledged - seen
        check(hidden.isEmpty()) { "uses $hidden hidden from ${asked.map { it.name }} by list $listRevision: ${describe()}" }
        val id = acknowledged.size
        asked.forEach { it.uses += id }
        acknowledged += id
        trace += "use $id at ${asked.map { it.name }} by list $listRevision"
        return true
    }

    private companion object {
        const val STEPS = 60
        const val ROUNDS = 12

        /** Callers may be behind by this many lists. */
        const val LIST_AGE = 4
    }
}
