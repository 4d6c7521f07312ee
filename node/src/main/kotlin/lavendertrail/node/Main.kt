package lavendertrail.node

import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrail`. */
public fun main(args: Array<String>) {
    System.err.println("usage: lavendertrail run|check|dev (got '${args.joinToString(" ")}')")
    exitProcess(2)
}
