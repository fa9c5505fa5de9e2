"""Budgets, maintenance waves and moves."""
