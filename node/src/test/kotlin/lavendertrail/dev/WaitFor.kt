package lavendertrail.dev

/** Polls until [condition] holds; fails with [what] in the message after [limitMillis]. */
internal fun waitFor(
    what: String,
    limitMillis: Long = 30_000,
    condition: () -> Boolean,
) {
    val until = System.nanoTime() + limitMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < until) { "$what: did not happen within $limitMillis ms" }
        Thread.sleep(10)
    }
}
