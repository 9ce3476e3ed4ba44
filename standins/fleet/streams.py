"""Seeded random generators, one for each purpose.

Additional draws for one purpose do not change the draws for the others.
"""

import random


class RandomStreams:
    """Random generators by purpose, each created when it is first used.

    The name of the purpose is part of the generator's seed, so a different name leads to different draws.
    """

    def __init__(self, seed: int):
        self.seed = seed
        self._generators: dict[str, random.Random] = {}

    def __getitem__(self, purpose: str) -> random.Random:
        if purpose not in self._generators:
            self._generators[purpose] = random.Random(f"{self.seed}/{purpose}")
        return self._generators[purpose]
