"""Off-line simulation of placement: the product's modules, no network."""
