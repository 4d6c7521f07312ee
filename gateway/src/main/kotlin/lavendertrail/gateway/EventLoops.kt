package lavendertrail.gateway

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler

/** A single-threaded event loop group for all connections of a process; hosts have less than one CPU core. */
public fun singleEventLoop(): EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
