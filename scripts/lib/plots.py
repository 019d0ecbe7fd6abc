"""Draws plots as SVG files without a plotting library."""

COLOURS = ["#1b6ca8", "#2a9d4a", "#c0392b", "#8e44ad", "#d68910"]
WIDTH, HEIGHT, MARGIN = 760, 300, 50


def timeline(path, seconds, names):
    """Writes a plot to `path` with one line for each of `names`.

    `seconds` is the timeline of a load generator's summary: one dictionary of
    values a second.
    """
    elements = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
                f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
                f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>']
    span = max(1, len(seconds) - 1)
    peak = max([s.get(name, 0) for s in seconds for name in names] + [1])
    for tick in range(5):
        y = HEIGHT - MARGIN - tick / 4 * (HEIGHT - 2 * MARGIN)
        elements.append(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y}" '
                        f'y2="{y}" stroke="#ddd"/>'
                        f'<text x="4" y="{y + 4}">{peak * tick / 4:.0f}</text>')
    for index, name in enumerate(names):
        colour = COLOURS[index % len(COLOURS)]
        points = " ".join(
            f"{MARGIN + at / span * (WIDTH - 2 * MARGIN):.1f},"
            f"{HEIGHT - MARGIN - s.get(name, 0) / peak * (HEIGHT - 2 * MARGIN):.1f}"
            for at, s in enumerate(seconds))
        elements.append(f'<polyline points="{points}" fill="none" '
                        f'stroke="{colour}" stroke-width="1.5"/>'
                        f'<text x="{MARGIN + index * 120}" y="20" '
                        f'fill="{colour}">{name}</text>')
    elements.append(f'<text x="{WIDTH // 2}" y="{HEIGHT - 10}">seconds</text>'
                    "</svg>")
    path.write_text("\n".join(elements))
