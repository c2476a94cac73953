"""Distribution of a route's requests among services."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from cairnferry.entry.targets._weights import WeightedRoundRobin
from cairnferry.records import Backend


@given(
    st.lists(st.integers(1, 100), min_size=1, max_size=4),
    st.integers(0, 2**32),
    st.integers(1, 300),
)
def test_the_share_of_each_service_matches_its_weight(weights, seed, requests):
    backends = tuple(Backend(f"s{i}", weight) for i, weight in enumerate(weights))
    rotation = WeightedRoundRobin.start(backends, random.Random(seed))
    taken = collections.Counter(rotation.next_service() for _ in range(requests))
    for backend in backends:
        due = requests * backend.weight / sum(weights)
        assert abs(taken[backend.service] - due) <= len(weights) + 1
