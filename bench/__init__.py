"""Benchmarks and models; the Makefile has a target for each of them."""
