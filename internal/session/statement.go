package session

import "strings"

// kind is what the first words of a statement tell about it.
type kind int

const (
	kindOther    kind = iota // goes to the primary
	kindRead                 // begins as a read
	kindBegin                // starts a transaction
	kindCommit               // ends it
	kindRollback             // ends it, not ROLLBACK TO
	kindSet                  // SET of a session setting
	kindReset                // RESET of a session setting
	kindShow                 // SHOW of a setting that the session keeps
	kindForget               // DEALLOCATE ALL
	kindRefused              // bound to a connection, so not offered
)

// statement is one statement of an SQL text, as far as the session needs it.
type statement struct {
	kind       kind
	name       string // of the setting or of the refused feature
	value      string // of the setting; empty with unset
	unset      bool   // SET ... TO DEFAULT, RESET
	readOnly   bool   // BEGIN READ ONLY
	readWrite  bool   // BEGIN READ WRITE
	chained    bool   // COMMIT AND CHAIN, PREPARE TRANSACTION: another transaction or state follows
	repeatable bool   // a read that surely changes nothing, so that it may run twice
	writes     bool   // surely writes
	text       string // from its first word
}

// headSize bounds the pieces of a statement that are kept for a closer look.
const headSize = 16

// readWords begin statements that are reads in templates that say so.
var readWords = map[string]bool{"select": true, "with": true, "show": true, "values": true, "table": true}

// writingWords begin statements that write.
var writingWords = wordSet("insert update delete merge create alter drop truncate grant revoke comment vacuum " +
	"reindex cluster refresh call do import reassign security")

// boundWords begin statements whose effect outlives their transaction on one
// connection, or that need the copy protocol.
var boundWords = map[string]bool{
	"listen": true, "unlisten": true, "discard": true, "prepare": true, "execute": true,
	"deallocate": true, "copy": true, "load": true,
}

// parseStatements cuts SQL text at its semicolons and classifies each
// statement. Empty statements are left out.
func parseStatements(sql string) []statement {
	lex := lexer{rest: sql}
	var all []statement
	for {
		s, ok := nextStatement(&lex)
		if ok {
			all = append(all, s)
		}
		if lex.rest == "" {
			return all
		}
	}
}

// nextStatement reads up to a semicolon or the end of the text.
func nextStatement(lex *lexer) (statement, bool) {
	lex.skipBlank()
	start := lex.rest
	var (
		head  = make([]sqlToken, 0, headSize)
		seen  traits
		count int
	)
	for {
		before := lex.rest
		t := lex.next()
		if t.kind == endOfText || t == (sqlToken{symbol, ";"}) {
			s := classify(head, seen)
			s.text = strings.TrimSpace(start[:len(start)-len(before)])
			return s, count > 0
		}
		count++
		if len(head) < headSize {
			head = append(head, t)
		}
		seen.add(t)
	}
}

// traits are what the whole of a statement shows.
type traits struct {
	previous    sqlToken
	writes      bool   // holds a word that only writes have
	calls       bool   // calls a function that isn't known to be harmless
	bound       string // function or clause whose effect outlives its transaction
	withHold    bool   // WITH HOLD
	intoOrLocks bool   // SELECT INTO, FOR UPDATE
}

// writeWords occur in a read only when it writes too.
var writeWords = map[string]bool{"insert": true, "update": true, "delete": true, "merge": true}

// harmlessBeforeParen may stand before a parenthesis in a read that is
// repeatable: keywords and functions that change nothing.
var harmlessBeforeParen = wordSet("select from where and or not in as on using values exists any all some " +
	"union except intersect with over filter by case when then else between like ilike is null join lateral materialized " +
	"limit offset having distinct array row cast " +
	"count sum min max avg coalesce nullif greatest least lower upper length trim substr substring abs round floor ceil " +
	"now date_trunc extract to_char row_number rank dense_rank lag lead first_value last_value string_agg array_agg " +
	"json_agg jsonb_agg json_build_object jsonb_build_object numeric decimal varchar char float timestamp date_part concat replace " +
	"left right split_part position overlay ltrim rtrim btrim lpad rpad reverse repeat initcap md5 strpos starts_with translate " +
	"concat_ws format regexp_match regexp_matches regexp_replace regexp_split_to_array quote_literal octet_length char_length " +
	"ceiling trunc mod power sqrt exp ln log sign random width_bucket age make_date make_time make_interval make_timestamp " +
	"to_date to_timestamp to_number date time interval at current_date current_timestamp clock_timestamp statement_timestamp " +
	"bool_and bool_or every variance stddev var_pop var_samp stddev_pop stddev_samp corr mode percentile_cont percentile_disc " +
	"ntile nth_value cume_dist percent_rank generate_series unnest array_length array_to_string string_to_array cardinality " +
	"array_append array_position json_array_length jsonb_array_length json_array_elements jsonb_array_elements jsonb_each " +
	"json_extract_path jsonb_extract_path to_json to_jsonb row_to_json json_object_agg jsonb_object_agg jsonb_path_query " +
	"version current_database current_schema pg_typeof total ifnull json_extract date strftime julianday typeof group_concat")

func wordSet(words string) map[string]bool {
	set := map[string]bool{}
	for _, w := range strings.Fields(words) {
		set[w] = true
	}
	return set
}

func (t *traits) add(next sqlToken) {
	previous := t.previous
	t.previous = next
	if next.kind == word {
		t.addWord(previous, next.text)
	}
	if next == (sqlToken{symbol, "("}) && (previous.kind == word || previous.kind == quotedName) {
		t.addCall(strings.ToLower(previous.text), previous.kind == quotedName)
	}
}

func (t *traits) addWord(previous sqlToken, text string) {
	switch {
	case writeWords[text]:
		t.writes = true
	case text == "into":
		t.intoOrLocks = true
	}
	if previous.kind != word {
		return
	}
	switch {
	case previous.text == "into" && (text == "temp" || text == "temporary"):
		t.bound = "SELECT INTO TEMPORARY"
	case previous.text == "with" && text == "hold":
		t.withHold = true
	case previous.text == "for" && (text == "update" || text == "share" || text == "no" || text == "key"):
		t.intoOrLocks = true
	}
}

func (t *traits) addCall(name string, quoted bool) {
	bare := name[strings.LastIndexByte(name, '.')+1:]
	if reason := boundFunction(bare); reason {
		t.bound = bare
	}
	if quoted || !harmlessBeforeParen[name] {
		t.calls = true
	}
}

// boundFunction tells whether a function's effect outlives its transaction, or
// is the proxy's own at the target.
func boundFunction(name string) bool {
	switch {
	case strings.HasPrefix(name, "nettlewalk_"):
		return true
	case strings.HasPrefix(name, "pg_advisory_"), strings.HasPrefix(name, "pg_try_advisory_"):
		return !strings.Contains(name, "_xact_")
	default:
		return name == "set_config"
	}
}
