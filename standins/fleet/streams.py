"""Seeded draws: one generator for each purpose, so that more draws for one do not change the others."""

import random


class Streams:
    """The generators, by purpose."""

    def __init__(self, seed: int):
        self.seed = seed
        self._made: dict[str, random.Random] = {}

    def __getitem__(self, purpose: str) -> random.Random:
        if purpose not in self._made:
            self._made[purpose] = random.Random(f"{self.seed}/{purpose}")
        return self._made[purpose]
