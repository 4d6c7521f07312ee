package lavendertrail.dev

/** Returns as soon as [condition] holds; fails with [what] after [limitMillis]. */
internal fun waitFor(
    what: String,
    limitMillis: Long = 30_000,
    condition: () -> Boolean,
) {
    val until = System.nanoTime() + limitMillis * 1_000_000
    while (!condition()) {
        check(System.nanoTime() < until) { "$what: not within $limitMillis ms" }
        Thread.sleep(10)
    }
}
