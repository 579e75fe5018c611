"""Simulates scenarios in virtual time, on the product and a naive fleet."""
