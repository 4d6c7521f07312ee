package lavendertrail.dispatch

/**
 * A persistent sorted map (AVL tree). Each change returns a new tree in O(log n) and leaves the old one unchanged.
 *
 * The persistent collections library has no sorted map, and the queue, the timers and the fair share need the least
 * entry after each change.
 */
internal class SortedTree<K : Comparable<K>, V> private constructor(
    private val root: Node<K, V>?,
    val size: Int,
) {
    constructor() : this(null, 0)

    fun isEmpty(): Boolean = root == null

    fun isNotEmpty(): Boolean = root != null

    operator fun get(key: K): V? {
        var node = root
        while (node != null) {
            val order = key.compareTo(node.key)
            if (order == 0) return node.value
            node = if (order < 0) node.left else node.right
        }
        return null
    }

    operator fun contains(key: K): Boolean = get(key) != null

    fun firstKey(): K? {
        var node = root ?: return null
        while (true) node = node.left ?: return node.key
    }

    fun first(): V? = firstKey()?.let { get(it) }

    fun lastKey(): K? {
        var node = root ?: return null
        while (true) node = node.right ?: return node.key
    }

    fun last(): V? = lastKey()?.let { get(it) }

    fun put(
        key: K,
        value: V,
    ): SortedTree<K, V> = SortedTree(insert(root, key, value), if (key in this) size else size + 1)

    fun remove(key: K): SortedTree<K, V> = if (key in this) SortedTree(delete(root, key), size - 1) else this

    /** Values in key order. Takes O(n), so it is not used in decisions. */
    fun values(): List<V> = buildList(size) { visit(root) { add(it.value) } }

    override fun equals(other: Any?): Boolean = other is SortedTree<*, *> && size == other.size && entries() == other.entries()

    override fun hashCode(): Int = entries().hashCode()

    private fun entries(): List<Pair<K, V>> = buildList(size) { visit(root) { add(it.key to it.value) } }

    private class Node<K, V>(
        val key: K,
        val value: V,
        val left: Node<K, V>?,
        val right: Node<K, V>?,
    ) {
        val height: Int = maxOf(left?.height ?: 0, right?.height ?: 0) + 1
    }

    private companion object {
        fun <K, V> visit(
            node: Node<K, V>?,
            action: (Node<K, V>) -> Unit,
        ) {
            if (node == null) return
            visit(node.left, action)
            action(node)
            visit(node.right, action)
        }

        fun <K : Comparable<K>, V> insert(
            node: Node<K, V>?,
            key: K,
            value: V,
        ): Node<K, V> {
            if (node == null) return Node(key, value, null, null)
            val order = key.compareTo(node.key)
            return when {
                order < 0 -> balanced(node, insert(node.left, key, value), node.right)
                order > 0 -> balanced(node, node.left, insert(node.right, key, value))
                else -> Node(key, value, node.left, node.right)
            }
        }

        fun <K : Comparable<K>, V> delete(
            node: Node<K, V>?,
            key: K,
        ): Node<K, V>? {
            if (node == null) return null
            val order = key.compareTo(node.key)
            return when {
                order < 0 -> balanced(node, delete(node.left, key), node.right)
                order > 0 -> balanced(node, node.left, delete(node.right, key))
                node.left == null -> node.right
                node.right == null -> node.left
                else -> leftmost(node.right).let { balanced(it, node.left, delete(node.right, it.key)) }
            }
        }

        fun <K, V> leftmost(node: Node<K, V>): Node<K, V> {
            var current = node
            while (true) current = current.left ?: return current
        }

        fun <K, V> height(node: Node<K, V>?): Int = node?.height ?: 0

        /** Returns a balanced tree of the entry of [center] and the subtrees [left] and [right], whose heights differ by at most two. */
        fun <K, V> balanced(
            center: Node<K, V>,
            left: Node<K, V>?,
            right: Node<K, V>?,
        ): Node<K, V> {
            val balanceFactor = height(left) - height(right)
            if (balanceFactor > 1 && left != null) {
                val inner = left.right
                return if (inner == null || height(left.left) >= height(inner)) {
                    nodeOf(left, left.left, nodeOf(center, inner, right))
                } else {
                    nodeOf(inner, nodeOf(left, left.left, inner.left), nodeOf(center, inner.right, right))
                }
            }
            if (balanceFactor < -1 && right != null) {
                val inner = right.left
                return if (inner == null || height(right.right) >= height(inner)) {
                    nodeOf(right, nodeOf(center, left, inner), right.right)
                } else {
                    nodeOf(inner, nodeOf(center, left, inner.left), nodeOf(right, inner.right, right.right))
                }
            }
            return nodeOf(center, left, right)
        }

        fun <K, V> nodeOf(
            entry: Node<K, V>,
            left: Node<K, V>?,
            right: Node<K, V>?,
        ): Node<K, V> = Node(entry.key, entry.value, left, right)
    }
}
