//! Checks `docs/CAPACITY.md` against `docs/capacity.toml`: every figure of its tables can be recalculated, names the run that
//! produced it, and states if it is a far extrapolation. Missing items are in the ROADMAP, in the same order and with their size.

use std::collections::{BTreeMap, BTreeSet};

use lab::capacity::{AtTarget, Fit, target};
use serde::Deserialize;

/// Maximum ratio of a size to the largest measured size without a remark.
const MAX_EXTRAPOLATION: f64 = 10.0;
/// Remark on a figure beyond that ratio.
const EXTRAPOLATION_REMARK: &str = "over ten times";

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Data {
    /// Target sizes from the operators.
    target: BTreeMap<String, f64>,
    /// Limits that the operators allow.
    allowed: BTreeMap<String, f64>,
    /// Numbers that are neither measured nor from the operators, each with its source.
    given: BTreeMap<String, Given>,
    slope: Vec<Slope>,
    /// Single measured figures, used without a fit.
    measured: Vec<Measured>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {
    value: f64,
    unit: String,
    source: String,
    /// True if it is calculated from a far extrapolation.
    #[serde(default)]
    far: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Measured {
    id: String,
    what: String,
    value: f64,
    unit: String,
    command: String,
    source: String,
    date: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Slope {
    id: String,
    what: String,
    unit: String,
    /// The name of the size, in `target` or `given`.
    by: String,
    /// Sizes with the values measured at them.
    points: Vec<(f64, f64)>,
    command: String,
    source: String,
    date: String,
}

impl Data {
    fn size(&self, name: &str) -> Option<f64> {
        self.target
            .get(name)
            .copied()
            .or_else(|| self.given.get(name).map(|given| given.value))
    }
}

impl Slope {
    /// Fits a line through the points.
    fn fit(&self) -> Fit {
        Fit::of(&self.points).unwrap_or_else(|| panic!("{} has no line", self.id))
    }

    fn at(&self, data: &Data) -> AtTarget {
        self.fit().at(data
            .size(&self.by)
            .unwrap_or_else(|| panic!("no size is called {}", self.by)))
    }
}

fn read(name: &str) -> String {
    let path = format!("{}/../../docs/{name}", env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{path}: {e}"))
}

fn data() -> Data {
    toml::from_str(&read("capacity.toml")).expect("docs/capacity.toml can be read")
}

/// Returns the cells of all rows whose first cell is an id with that letter, in order.
fn rows(text: &str, letter: char) -> Vec<Vec<String>> {
    let is_id = |cell: &str| {
        let digits = cell.strip_prefix(letter).unwrap_or_default();
        !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit())
    };
    text.lines()
        .filter_map(|line| line.strip_prefix('|')?.strip_suffix('|'))
        .map(|line| {
            line.split('|')
                .map(|cell| cell.trim().to_owned())
                .collect::<Vec<_>>()
        })
        .filter(|cells| cells.first().is_some_and(|cell| is_id(cell)))
        .collect()
}

/// Parses a written figure: its value and half a unit of its last digit.
fn figure(cell: &str) -> Option<(f64, f64)> {
    let number = cell
        .trim_start_matches("about ")
        .split_whitespace()
        .next()?
        .replace(',', "");
    let decimals = number.split_once('.').map_or(0, |(_, part)| part.len());
    Some((
        number.parse().ok()?,
        0.5 / 10_f64.powi(i32::try_from(decimals).ok()?),
    ))
}

/// Returns true if the written figure equals the value within the rounding of its last or of its third digit.
fn agrees(cell: &str, value: f64) -> bool {
    figure(cell).is_some_and(|(written, half)| {
        let slack = (0.005 * value.abs()).max(if value.abs() < 1.0 && written == 0.0 {
            0.0
        } else {
            half
        });
        (written - value).abs() <= slack * (1.0 + 1e-9) + f64::EPSILON
    })
}

/// Values of the names in formulas.
struct Names(BTreeMap<String, f64>);

impl Names {
    /// Evaluates a formula of numbers, names, `+ - x /` with spaces around them, and parentheses.
    fn evaluate(&self, formula: &str) -> Result<f64, String> {
        let spaced = formula.replace('(', " ( ").replace(')', " ) ");
        let mut parts = spaced.split_whitespace().peekable();
        let value = self.sum(&mut parts)?;
        parts.next().map_or(Ok(value), |rest| {
            Err(format!("`{formula}`: what is \"{rest}\"?"))
        })
    }

    fn sum<'a>(
        &self,
        parts: &mut std::iter::Peekable<impl Iterator<Item = &'a str>>,
    ) -> Result<f64, String> {
        let mut value = self.product(parts)?;
        while let Some(sign) = parts.next_if(|p| matches!(*p, "+" | "-")) {
            let next = self.product(parts)?;
            value += if sign == "+" { next } else { -next };
        }
        Ok(value)
    }

    fn product<'a>(
        &self,
        parts: &mut std::iter::Peekable<impl Iterator<Item = &'a str>>,
    ) -> Result<f64, String> {
        let mut value = self.term(parts)?;
        while let Some(sign) = parts.next_if(|p| matches!(*p, "x" | "/")) {
            let next = self.term(parts)?;
            value = if sign == "x" {
                value * next
            } else {
                value / next
            };
        }
        Ok(value)
    }

    fn term<'a>(
        &self,
        parts: &mut std::iter::Peekable<impl Iterator<Item = &'a str>>,
    ) -> Result<f64, String> {
        match parts.next() {
            Some("(") => {
                let value = self.sum(parts)?;
                if parts.next() == Some(")") {
                    Ok(value)
                } else {
                    Err("a parenthesis stays open".into())
                }
            }
            Some(word) => self
                .0
                .get(word)
                .copied()
                .or_else(|| word.replace(',', "").parse().ok())
                .ok_or_else(|| format!("nothing is called \"{word}\"")),
            None => Err("it ends too early".into()),
        }
    }
}

/// Returns the ids of slopes whose target is over ten times the largest measured size, and of all figures calculated from
/// them.
fn far_extrapolations(data: &Data, page: &str) -> BTreeSet<String> {
    let given = data.given.iter().filter(|(_, given)| given.far);
    let mut far: BTreeSet<String> = given.map(|(name, _)| name.clone()).collect();
    for slope in &data.slope {
        if slope.at(data).times > MAX_EXTRAPOLATION || far.contains(&slope.by) {
            far.insert(slope.id.clone());
        }
    }
    for row in rows(page, 'W') {
        if row[2]
            .trim_matches('`')
            .split_whitespace()
            .any(|word| far.contains(word))
        {
            far.insert(row[0].clone());
        }
    }
    far
}

/// Returns all names: sizes, limits, given numbers, slopes at the target, and the calculated figures of the page, in the order
/// of the page.
fn all_names(data: &Data, page: &str) -> Names {
    let mut names = Names(BTreeMap::new());
    let mut add = |name: &str, value: f64| {
        let before = names.0.insert(name.to_owned(), value);
        assert!(before.is_none(), "{name} is defined twice");
    };
    data.target
        .iter()
        .for_each(|(name, value)| add(name, *value));
    data.allowed
        .iter()
        .for_each(|(name, value)| add(name, *value));
    data.given
        .iter()
        .for_each(|(name, given)| add(name, given.value));
    for slope in &data.slope {
        add(&slope.id, slope.at(data).value);
        add(&format!("{}.slope", slope.id), slope.fit().slope);
        add(&format!("{}.base", slope.id), slope.fit().base);
    }
    data.measured.iter().for_each(|m| add(&m.id, m.value));
    for row in rows(page, 'W') {
        let [id, _, formula, ..] = &row[..] else {
            panic!("{row:?} lacks a cell")
        };
        let value = names
            .evaluate(formula.trim_matches('`'))
            .unwrap_or_else(|e| panic!("{id}: {e}"));
        assert!(
            names.0.insert(id.clone(), value).is_none(),
            "{id} is defined twice"
        );
    }
    names
}

#[test]
fn target_sizes_match_those_of_the_lab() {
    let data = data();
    let sizes = [
        ("proxies", target::PROXIES),
        ("servers", target::SERVERS),
        ("services", target::SERVICES),
        ("requests", target::REQUESTS),
        ("routes", target::ROUTES),
        ("tenants", target::TENANTS),
        ("changes", target::CHANGES),
        ("restarts", target::RESTARTS),
    ];
    for (name, size) in sizes {
        assert_eq!(data.target.get(name), Some(&size), "{name}");
    }
}

#[test]
fn slopes_and_measurements_are_complete_and_unique() {
    let data = data();
    let mut ids = BTreeSet::new();
    assert!(!data.slope.is_empty());
    for slope in &data.slope {
        let id = &slope.id;
        assert!(ids.insert(id.clone()), "{id} is defined twice");
        assert!(
            data.size(&slope.by).is_some(),
            "{id}: no size is called {}",
            slope.by
        );
        let texts = [
            &slope.what,
            &slope.unit,
            &slope.command,
            &slope.source,
            &slope.date,
        ];
        assert!(
            texts.iter().all(|text| !text.trim().is_empty()),
            "{id} leaves something out"
        );
        let fit = slope.fit();
        assert!(
            0.0 <= fit.range[0] && fit.points == slope.points.len(),
            "{id}"
        );
    }
    for m in &data.measured {
        let id = &m.id;
        assert!(ids.insert(id.clone()) && m.value.is_finite(), "{id}");
        let texts = [&m.what, &m.unit, &m.command, &m.source, &m.date];
        assert!(
            texts.iter().all(|text| !text.trim().is_empty()),
            "{id} leaves something out"
        );
    }
    for (name, given) in &data.given {
        assert!(
            !given.source.trim().is_empty() && !given.unit.trim().is_empty(),
            "{name} has no source"
        );
    }
}

#[test]
fn documented_slopes_match_the_data() {
    let (data, page) = (data(), read("CAPACITY.md"));
    let rows = rows(&page, 'S');
    let shown: BTreeSet<&str> = rows.iter().map(|row| row[0].as_str()).collect();
    let known: BTreeSet<&str> = data.slope.iter().map(|slope| slope.id.as_str()).collect();
    assert_eq!(shown, known, "the page's slopes are not those of the data");
    assert_eq!(
        rows.len(),
        data.slope.len(),
        "a slope occurs twice in the page"
    );
    for row in &rows {
        let [id, _, slope, base, by, at, range, residual, command] = &row[..] else {
            panic!("{row:?} does not have nine cells")
        };
        let of = data
            .slope
            .iter()
            .find(|slope| slope.id == *id)
            .expect("it is known");
        let (fit, target) = (of.fit(), of.at(&data));
        assert!(
            agrees(slope, fit.slope),
            "{id}: slope {slope} is not {}",
            fit.slope
        );
        assert!(
            agrees(base, fit.base),
            "{id}: base {base} is not {}",
            fit.base
        );
        assert!(
            agrees(at, target.value),
            "{id}: {at} is not {}",
            target.value
        );
        for cell in [slope, base, at] {
            assert!(
                cell.contains(&of.unit),
                "{id}: {cell} lacks its unit, {}",
                of.unit
            );
        }
        assert!(
            agrees(by, target.size) && by.contains(&of.by),
            "{id}: {by} is not {} {}",
            target.size,
            of.by
        );
        let (span, beyond) = range
            .split_once("; ")
            .unwrap_or_else(|| panic!("{id}: {range}"));
        let (least, most) = span
            .split_once(" to ")
            .unwrap_or_else(|| panic!("{id}: {range}"));
        let right = agrees(least, fit.range[0]) && agrees(most, fit.range[1]);
        assert!(
            right && agrees(beyond, target.times),
            "{id}: {range} is not {:?}",
            fit.range
        );
        assert_eq!(
            beyond.contains(EXTRAPOLATION_REMARK),
            target.times > MAX_EXTRAPOLATION,
            "{id}: {range}"
        );
        if fit.points == 2 {
            assert_eq!(residual, "two points", "{id}");
        } else {
            let right =
                |(written, half): (f64, f64)| (written - 100.0 * fit.residual).abs() <= half + 1e-9;
            assert!(
                figure(residual).is_some_and(right),
                "{id}: {residual} is not {}",
                fit.residual
            );
        }
        assert_eq!(
            command.trim_matches('`'),
            of.command,
            "{id}: another command"
        );
    }
}

#[test]
fn documented_single_figures_match_the_data() {
    let (data, page) = (data(), read("CAPACITY.md"));
    let rows = rows(&page, 'D');
    let shown: Vec<&str> = rows.iter().map(|row| row[0].as_str()).collect();
    let known: Vec<&str> = data.measured.iter().map(|m| m.id.as_str()).collect();
    assert_eq!(
        shown, known,
        "the page's single figures are not those of the data"
    );
    for (row, m) in rows.iter().zip(&data.measured) {
        let [id, _, value, command] = &row[..] else {
            panic!("{row:?} does not have four cells")
        };
        assert!(
            agrees(value, m.value) && value.contains(&m.unit),
            "{id}: {value} is not {} {}",
            m.value,
            m.unit
        );
        assert_eq!(
            command.trim_matches('`'),
            m.command,
            "{id}: another command"
        );
    }
}

#[test]
fn documented_calculations_are_correct() {
    let (data, page) = (data(), read("CAPACITY.md"));
    let (names, far) = (all_names(&data, &page), far_extrapolations(&data, &page));
    let rows = rows(&page, 'W');
    assert!(!rows.is_empty());
    for row in rows {
        let [id, _, formula, value, ..] = &row[..] else {
            panic!("{row:?} lacks a cell")
        };
        let is = names
            .evaluate(formula.trim_matches('`'))
            .unwrap_or_else(|e| panic!("{id}: {e}"));
        assert!(agrees(value, is), "{id}: {value} is not {formula} = {is}");
        assert_eq!(
            value.contains(EXTRAPOLATION_REMARK),
            far.contains(id),
            "{id}: {value}"
        );
    }
}

/// Checks figures in sentences, such as `2.72 a day (W18)`: the nearest figure within three words before an id in parentheses.
#[test]
fn figures_in_sentences_match_their_ids() {
    let (data, page) = (data(), read("CAPACITY.md"));
    let names = all_names(&data, &page);
    let is_row = |line: &&str| {
        let first = line
            .trim_start_matches('|')
            .trim_start()
            .split(' ')
            .next()
            .unwrap_or_default();
        line.starts_with('|') && ids(first, "SDWAMN").next() == Some(first)
    };
    let text: String = page
        .lines()
        .filter(|line| !is_row(line))
        .map(|line| format!("{line} "))
        .collect();
    let mut checked = 0;
    for (at, _) in text.match_indices('(') {
        let id = text[at + 1..].split(')').next().unwrap_or_default();
        let Some(is) = names
            .0
            .get(id)
            .filter(|_| ids(id, "WDS").next() == Some(id))
        else {
            continue;
        };
        let before = text[..at]
            .split_whitespace()
            .rev()
            .take(3)
            .find(|w| w.starts_with(|c: char| c.is_ascii_digit()));
        if let Some(said) = before {
            assert!(agrees(said, *is), "{said} ({id}) is {is}");
            checked += 1;
        }
    }
    assert!(checked > 20, "only {checked} figures are in sentences");
}

#[test]
fn allowance_rows_are_correct_and_sorted_by_multiple() {
    let (data, page) = (data(), read("CAPACITY.md"));
    let (names, far) = (all_names(&data, &page), far_extrapolations(&data, &page));
    let mut before = f64::INFINITY;
    let rows = rows(&page, 'A');
    assert!(!rows.is_empty());
    for row in rows {
        let [id, _, formula, value, allowed, multiple, ..] = &row[..] else {
            panic!("{row:?} lacks a cell")
        };
        let is = names
            .evaluate(formula.trim_matches('`'))
            .unwrap_or_else(|e| panic!("{id}: {e}"));
        assert!(agrees(value, is), "{id}: {value} is not {formula} = {is}");
        let is_far = formula
            .trim_matches('`')
            .split_whitespace()
            .any(|word| far.contains(word));
        assert_eq!(
            value.contains(EXTRAPOLATION_REMARK),
            is_far,
            "{id}: {value}"
        );
        let limit = figure(allowed)
            .unwrap_or_else(|| panic!("{id}: {allowed}"))
            .0;
        assert!(
            data.allowed.values().any(|a| *a == limit),
            "{id}: {allowed} is not an allowed limit"
        );
        assert!(
            agrees(multiple, is / limit),
            "{id}: {multiple} is not {}",
            is / limit
        );
        assert!(is / limit <= before, "{id} is not in order");
        before = is / limit;
    }
}

/// Returns the ids with one of these letters that occur in a text.
fn ids<'a>(text: &'a str, letters: &'a str) -> impl Iterator<Item = &'a str> {
    text.split(|c: char| !c.is_ascii_alphanumeric())
        .filter(move |word| {
            let digits = word
                .strip_prefix(|c| letters.contains(c))
                .unwrap_or_default();
            !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit())
        })
}

#[test]
fn referenced_ids_have_a_row() {
    let page = read("CAPACITY.md");
    let mut known = BTreeSet::new();
    for row in "SDWAMN".chars().flat_map(|letter| rows(&page, letter)) {
        assert!(known.insert(row[0].clone()), "{} is defined twice", row[0]);
    }
    for (name, text) in [("page", &page), ("note", &read("design/capacity.md"))] {
        for id in ids(text, "SDWAMN") {
            assert!(
                known.contains(id),
                "the {name} names {id}, which has no row"
            );
        }
    }
}

#[test]
fn missing_items_are_in_the_roadmap_in_order_with_their_size() {
    let (page, roadmap) = (read("CAPACITY.md"), read("ROADMAP.md"));
    let begin = roadmap
        .find("the fleet ahead")
        .expect("the ROADMAP has a part on the fleet ahead");
    let part = &roadmap[begin..];
    let part = &part[..part.find("\n## ").unwrap_or(part.len())];
    let rows = rows(&page, 'M');
    assert!(!rows.is_empty());
    let mut at = 0;
    for (number, row) in rows.iter().enumerate() {
        let [id, name, size, removes, ..] = &row[..] else {
            panic!("{row:?} lacks a cell")
        };
        assert_eq!(*id, format!("M{}", number + 1), "out of order");
        assert!(
            size.contains("lines") && size.contains("week"),
            "{id}: {size} is no size"
        );
        assert!(
            ids(removes, "SDWAN").next().is_some(),
            "{id} names no figure that it takes away"
        );
        let found = part[at..]
            .lines()
            .position(|line| line.contains(&format!("**{name}**")));
        let line = found
            .unwrap_or_else(|| panic!("{id}: \"{name}\" has no line in the ROADMAP from there on"));
        let text = part[at..].lines().nth(line).unwrap_or_default();
        assert!(
            text.contains(id.as_str()),
            "{id}: the ROADMAP's line is another's: {text}"
        );
        assert!(
            text.contains(size.as_str()),
            "{id}: the ROADMAP's line lacks its size, {size}: {text}"
        );
        at += part[at..]
            .lines()
            .take(line + 1)
            .map(|l| l.len() + 1)
            .sum::<usize>();
    }
    let listed = part.lines().filter(|line| line.contains(". **")).count();
    assert_eq!(listed, rows.len(), "the ROADMAP has another number of them");
    let missing = page
        .lines()
        .filter(|line| line.starts_with('|') && line.contains("missing:"));
    for line in missing {
        let named = line.split("missing:").nth(1).unwrap_or_default();
        assert!(
            ids(named, "M").next().is_some(),
            "what is missing has no row: {line}"
        );
    }
}

#[test]
fn formulas_follow_operator_precedence() {
    let names = Names([("lease".to_owned(), 15.0)].into());
    assert_eq!(names.evaluate("2 + 3 x 4 - 6 / 3"), Ok(12.0));
    assert_eq!(names.evaluate("lease x (1 + 0.5) / 1,000"), Ok(0.0225));
    for wrong in ["", "2 +", "2 3", "(2", "rent x 2"] {
        assert!(names.evaluate(wrong).is_err(), "{wrong}");
    }
    assert!(agrees("1.4 ms", 1.44) && !agrees("1.4 ms", 1.46) && agrees("16,800 B/s", 16_790.0));
    assert!(!agrees("", 1.0) && !agrees("none", 1.0) && !agrees("0 B", 0.4));
}
