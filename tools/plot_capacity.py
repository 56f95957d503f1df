#!/usr/bin/env python3
"""Draws docs/capacity.svg from the output of control_bench: plot_capacity.py < OUTPUT > docs/capacity.svg"""

import math
import sys

PANELS = [  # title, column, bound
    ("processor time, % of a core", 2, 1.5),
    ("control bytes sent, B/s", 6, 7000),
    ("resident memory, MB", 7, 32),
]
COLOURS = {8: "#1b6ca8", 16: "#c8553d", 32: "#3c7a3c"}
WIDTH, HEIGHT, MARGIN = 300, 240, 50


def read_rows(stream):
    rows = []
    for line in stream:
        fields = line.split()
        if len(fields) == 8 and fields[0].isdigit():
            rows.append([float(field) for field in fields])
    return rows


def panel(rows, index, title, column, bound):
    left = index * (WIDTH + MARGIN) + MARGIN
    sizes = sorted({row[0] for row in rows})
    values = [row[column] for row in rows] + [bound]
    low, high = math.log10(min(values) / 1.5), math.log10(max(values) * 1.5)

    def x(size):
        return left + WIDTH * math.log(size / sizes[0]) / math.log(sizes[-1] / sizes[0])

    def y(value):
        return MARGIN + HEIGHT * (high - math.log10(value)) / (high - low)

    out = [f'<text x="{left}" y="{MARGIN - 18}">{title}</text>',
           f'<rect x="{left}" y="{MARGIN}" width="{WIDTH}" height="{HEIGHT}" fill="none" stroke="#888"/>',
           f'<line x1="{left}" x2="{left + WIDTH}" y1="{y(bound)}" y2="{y(bound)}" stroke="#000" stroke-dasharray="5 4"/>',
           f'<text x="{left + 4}" y="{y(bound) - 4}">bound {bound:g}</text>']
    for size in sizes:
        out.append(f'<text x="{x(size)}" y="{MARGIN + HEIGHT + 16}" text-anchor="middle">{size:g}</text>')
    for entries, colour in COLOURS.items():
        points = [(x(row[0]), y(row[column])) for row in rows if row[1] == entries]
        path = " ".join(f"{px:.1f},{py:.1f}" for px, py in points)
        out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" stroke-width="2"/>')
        last = next(row for row in rows if row[1] == entries and row[0] == sizes[-1])
        out.append(f'<text x="{left + WIDTH - 4}" y="{y(last[column]) - 5}" text-anchor="end" fill="{colour}">'
                   f"{entries} entries: {last[column]:g}</text>")
    return out


def main():
    rows = read_rows(sys.stdin)
    width = len(PANELS) * (WIDTH + MARGIN) + MARGIN
    print(f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{HEIGHT + 2 * MARGIN + 20}" '
          'font-family="sans-serif" font-size="12">')
    print(f'<rect width="{width}" height="{HEIGHT + 2 * MARGIN + 20}" fill="#fff"/>')
    for index, (title, column, bound) in enumerate(PANELS):
        print("\n".join(panel(rows, index, title, column, bound)))
    print(f'<text x="{width / 2}" y="{HEIGHT + 2 * MARGIN + 6}" text-anchor="middle">instances (both axes logarithmic)</text>')
    print("</svg>")


main()
