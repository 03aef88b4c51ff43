#!/bin/sh
cd "$(dirname "$0")" && exec timeout -k 3 112 python3 -B run.py
