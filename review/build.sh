#!/bin/sh
# Builds the stand-ins of the cases. They need the standard library of CPython 3.11 only.
cd "$(dirname "$0")" && exec python3 -m py_compile standins.py
