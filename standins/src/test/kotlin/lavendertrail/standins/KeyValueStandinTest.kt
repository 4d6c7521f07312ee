package lavendertrail.standins

import lavendertrail.ports.KeyValueService

/** Runs the contract against the stand-in in process. */
class KeyValueStandinTest : KeyValueServiceContract() {
    override fun open(): KeyValueService = standin
}
