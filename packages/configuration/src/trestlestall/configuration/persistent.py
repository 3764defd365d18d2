"""A persistent map: an immutable mapping whose changed copies share their storage.

``Map`` is a hash trie. A node is a tuple of ``WIDTH`` children chosen by ``BITS`` bits
of the key's hash; a leaf is a plain dictionary of at most ``LEAF_LIMIT`` entries, or
more at ``DEPTH_LIMIT``. Setting or removing a key copies one leaf and the nodes above
it, so the cost hardly grows with the size, and the older map is unchanged.

Example:

    >>> first = Map.of({"a": 1})
    >>> second = first.set("b", 2)
    >>> sorted(second), sorted(first)
    (['a', 'b'], ['a'])
"""

import typing
from collections import abc

BITS = 5
WIDTH = 1 << BITS
MASK = WIDTH - 1
LEAF_LIMIT = 32
DEPTH_LIMIT = 12


class Map(abc.Mapping):
    """An immutable mapping of which changed copies are cheap.

    Iteration is in the order of the keys, so that every process sees the same order
    whatever its hash seed; keys must therefore be of one comparable type.
    """

    __slots__ = ("_root", "_size")

    def __init__(self, root: dict | tuple | None = None, size: int = 0):
        self._root = {} if root is None else root
        self._size = size

    @classmethod
    def of(cls, entries: abc.Mapping) -> "Map":
        """Return a map of the entries; a ``Map`` is returned as it is."""
        if isinstance(entries, Map):
            return entries
        return cls(_build(dict(entries), 0), len(entries))

    def set(self, key: typing.Any, value: typing.Any) -> "Map":
        """Return a map with the key set to the value."""
        size = self._size + (key not in self)
        return Map(_set(self._root, hash(key), 0, key, value), size)

    def remove(self, key: typing.Any) -> "Map":
        """Return a map without the key, unchanged if the key is absent."""
        if key not in self:
            return self
        return Map(_remove(self._root, hash(key), key), self._size - 1)

    def get(self, key: typing.Any, default: typing.Any = None) -> typing.Any:
        """Return the key's value, or the default."""
        return self._find_leaf(key).get(key, default)

    def to_dict(self) -> dict:
        """Return the entries as a dictionary, in no particular order."""
        entries: dict = {}
        _collect(self._root, entries)
        return entries

    def _find_leaf(self, key: typing.Any) -> dict:
        node, bits = self._root, hash(key)
        while type(node) is tuple:
            node = node[bits & MASK]
            bits >>= BITS
        return node

    def __getitem__(self, key: typing.Any) -> typing.Any:
        return self._find_leaf(key)[key]

    def __contains__(self, key: object) -> bool:
        return key in self._find_leaf(key)

    def __iter__(self) -> abc.Iterator:
        return iter(sorted(self.to_dict()))

    def __len__(self) -> int:
        return self._size

    def __hash__(self) -> int:
        return hash(frozenset(self.to_dict().items()))

    def __repr__(self) -> str:
        return f"Map({dict(self)!r})"


EMPTY = Map()


def _build(entries: dict, depth: int) -> dict | tuple:
    if len(entries) <= LEAF_LIMIT or depth >= DEPTH_LIMIT:
        return entries
    children: list[dict] = [{} for _ in range(WIDTH)]
    shift = depth * BITS
    for key, value in entries.items():
        children[(hash(key) >> shift) & MASK][key] = value
    return tuple(_build(child, depth + 1) for child in children)


def _set(
    node: dict | tuple, bits: int, depth: int, key: typing.Any, value: typing.Any
) -> dict | tuple:
    if type(node) is dict:
        leaf = {**node, key: value}
        return leaf if len(leaf) <= LEAF_LIMIT else _build(leaf, depth)
    children = list(node)
    index = bits & MASK
    children[index] = _set(children[index], bits >> BITS, depth + 1, key, value)
    return tuple(children)


def _remove(node: dict | tuple, bits: int, key: typing.Any) -> dict | tuple:
    if type(node) is dict:
        leaf = dict(node)
        del leaf[key]
        return leaf
    children = list(node)
    index = bits & MASK
    children[index] = _remove(children[index], bits >> BITS, key)
    return tuple(children)


def _collect(node: dict | tuple, entries: dict) -> None:
    if type(node) is dict:
        entries.update(node)
        return
    for child in node:
        _collect(child, entries)
