//! Wildcard patterns.

/// An element of a pattern.
enum Token {
    /// Any number of characters.
    Run,
    /// Any single character.
    One,
    /// This character.
    Literal(char),
}

fn tokens(pattern: &str) -> Vec<Token> {
    let mut tokens = Vec::new();
    let mut rest = pattern.chars();
    while let Some(character) = rest.next() {
        tokens.push(match character {
            '*' => Token::Run,
            '?' => Token::One,
            '\\' => Token::Literal(rest.next().unwrap_or('\\')),
            character => Token::Literal(character),
        });
    }
    tokens
}

/// Returns whether a text matches a pattern: `*` matches any number of characters, `?` one, and `\` escapes the next.
/// The time is at most proportional to the product of both lengths.
///
/// ```
/// use orchidvalve_search::glob::glob_matches;
///
/// assert!(glob_matches("os-*", "os-7") && glob_matches("a?c", "abc") && glob_matches(r"a\*", "a*"));
/// assert!(!glob_matches(r"a\*", "ab") && !glob_matches("a*b", "acbd"));
/// ```
pub fn glob_matches(pattern: &str, text: &str) -> bool {
    let tokens = tokens(pattern);
    let text: Vec<char> = text.chars().collect();
    let (mut position, mut token) = (0, 0);
    // The last `*` and the position up to which it matches: the only one to which backtracking is useful.
    let mut last_run = None;
    while position < text.len() {
        match tokens.get(token) {
            Some(Token::Run) => {
                last_run = Some((token, position));
                token += 1;
            }
            Some(Token::One) => (position, token) = (position + 1, token + 1),
            Some(Token::Literal(literal)) if *literal == text[position] => {
                (position, token) = (position + 1, token + 1);
            }
            _ => {
                let Some((run, end)) = last_run else { return false };
                last_run = Some((run, end + 1));
                (position, token) = (end + 1, run + 1);
            }
        }
    }
    tokens[token..].iter().all(|token| matches!(token, Token::Run))
}
