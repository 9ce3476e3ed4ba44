"""The decisions: which endpoints each proxy uses, with which weights, and how much it may admit."""
