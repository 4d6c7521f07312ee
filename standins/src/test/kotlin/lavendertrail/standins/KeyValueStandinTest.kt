package lavendertrail.standins

import lavendertrail.ports.KeyValueService

/** The contract in process. */
class KeyValueStandinTest : KeyValueServiceContract() {
    override fun open(): KeyValueService = standin
}
