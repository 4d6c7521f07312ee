package lavendertrail.turns

import lavendertrail.gateway.nowMillis
import lavendertrail.gateway.singleEventLoop
import lavendertrail.gateway.socketAddress
import lavendertrail.model.FailureDomain
import lavendertrail.serving.TurnHost
import lavendertrail.standins.freePorts
import java.nio.file.Files
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

/** Turn hosts with disks that count the calls of each method and the bytes of its requests and replies. */
internal class MeteredTurnHosts(
    count: Int,
) : AutoCloseable {
    private val group = singleEventLoop()
    private val folder = Files.createTempDirectory("metered")
    private val costsByMethod = ConcurrentHashMap<String, Cost>()
    val hosts: List<TurnHost> = freePorts(count).mapIndexed { index, port -> TurnHost("h$index", "127.0.0.1:$port", FailureDomain("a")) }
    private val repositories =
        hosts.map { TurnRepository(folder.resolve(it.name), group.next(), System::currentTimeMillis, ::println) }
    private val servers =
        hosts.zip(repositories).map { (host, repository) ->
            group
                .next()
                .submit {
                    repository.open()
                    repository.markComplete()
                }.get()
            startCallServer(metered(repository, host), socketAddress(host.address), group)
        }

    data class Cost(
        val calls: Int,
        val bytes: Int,
    )

    private fun metered(
        repository: TurnRepository,
        host: TurnHost,
    ): Map<String, CallHandler> {
        val file = CrashNoticeFile(folder.resolve(host.name), group.next(), System::currentTimeMillis, ::println)
        val notices = CrashNotices(OpenSessions(), file, ::nowMillis)
        val handlers = turnHandlers(repository, { ListStateReply(0, 0, 0) }, notices, EntryHosts(::nowMillis))
        return handlers.mapValues { (method, handler) ->
            { request, reply ->
                record(method, calls = 1, bytes = request.size)
                handler(request) {
                    record(method, calls = 0, bytes = it.size)
                    reply(it)
                }
            }
        }
    }

    private fun record(
        method: String,
        calls: Int,
        bytes: Int,
    ) {
        costsByMethod.merge(method, Cost(calls, bytes)) { one, other -> Cost(one.calls + other.calls, one.bytes + other.bytes) }
    }

    fun costs(): Map<String, Cost> = costsByMethod.toMap()

    override fun close() {
        servers.forEach { it.shutdownNow() }
        group
            .next()
            .submit { repositories.forEach { it.close() } }
            .get()
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
        folder.toFile().deleteRecursively()
    }
}
