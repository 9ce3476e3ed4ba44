"""Seeded draws: one generator for each purpose, so that more draws for one don't move the others."""

import random


class Streams:
    def __init__(self, seed: int):
        self.seed = seed
        self._made: dict[str, random.Random] = {}

    def __getitem__(self, purpose: str) -> random.Random:
        if purpose not in self._made:
            self._made[purpose] = random.Random(f"{self.seed}/{purpose}")
        return self._made[purpose]
