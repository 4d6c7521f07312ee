package lavendertrail.node

import kotlin.system.exitProcess

/** Entry point of `bin/lavendertrail`. */
public fun main(args: Array<String>) {
    exitProcess(runCommand(args))
}
