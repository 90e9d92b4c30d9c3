package session

import "strings"

// kind classifies a statement.
type kind int

const (
	kindOther         kind = iota // any other statement, sent to the primary
	kindRead                      // begins with a read keyword and has no sign of a write
	kindBegin                     // BEGIN, START TRANSACTION
	kindCommit                    // COMMIT, END
	kindRollback                  // ROLLBACK, ABORT, but not ROLLBACK TO
	kindSet                       // SET of a session setting
	kindReset                     // RESET of a session setting
	kindShow                      // SHOW of a setting that the session keeps
	kindDeallocateAll             // DEALLOCATE ALL
	kindUnsupported               // unsupported, mostly because the effect is bound to a connection
)

// statement describes one statement of an SQL text.
type statement struct {
	kind           kind
	name           string // of the setting or of the unsupported feature
	value          string // of the setting; empty if toDefault is set
	toDefault      bool   // SET ... TO DEFAULT, RESET
	readOnly       bool   // BEGIN READ ONLY
	readWrite      bool   // BEGIN READ WRITE
	chained        bool   // COMMIT or ROLLBACK with AND CHAIN: another transaction follows
	sideEffectFree bool   // a read known to have no side effects, so that it is safe to retry
	writes         bool   // known to write
	text           string // SQL text from its first word
}

// maxLeadingTokens limits the leading tokens of a statement that classify sees.
const maxLeadingTokens = 16

// readKeywords begin statements that count as reads if the customer's template
// sets read_keywords.
var readKeywords = map[string]bool{"select": true, "with": true, "show": true, "values": true, "table": true}

// writeStatementKeywords begin statements that write.
var writeStatementKeywords = wordSet("insert update delete merge create alter drop truncate grant revoke comment vacuum " +
	"reindex cluster refresh call do import reassign security")

// sessionBoundKeywords begin statements whose effect outlives their transaction on
// one target connection, or that need the copy protocol.
var sessionBoundKeywords = map[string]bool{
	"listen": true, "unlisten": true, "discard": true, "prepare": true, "execute": true,
	"deallocate": true, "copy": true, "load": true,
}

// parseStatements splits SQL text at semicolons and classifies each statement. It
// omits empty statements.
func parseStatements(sql string) []statement {
	lex := lexer{remaining: sql}
	var all []statement
	for {
		s, ok := nextStatement(&lex)
		if ok {
			all = append(all, s)
		}
		if lex.remaining == "" {
			return all
		}
	}
}

// nextStatement reads up to a semicolon or the end of the text. It returns false
// if there was no token.
func nextStatement(lex *lexer) (statement, bool) {
	lex.skipSpaceAndComments()
	start := lex.remaining
	var (
		leading  = make([]sqlToken, 0, maxLeadingTokens)
		features statementFeatures
		count    int
	)
	for {
		remaining := lex.remaining
		t := lex.next()
		if t.kind == tokenEOF || t == (sqlToken{tokenSymbol, ";"}) {
			s := classify(leading, features)
			s.text = strings.TrimSpace(start[:len(start)-len(remaining)])
			return s, count > 0
		}
		count++
		if len(leading) < maxLeadingTokens {
			leading = append(leading, t)
		}
		features.add(t)
	}
}

// statementFeatures holds what the whole text of a statement reveals.
type statementFeatures struct {
	previous             sqlToken // last token added
	modifiesData         bool     // has a keyword of dataModifyingKeywords
	callsUnknownFunction bool     // calls a function that isn't known to be free of side effects
	sessionBound         string   // unsupported function or clause, empty if none
	withHold             bool     // WITH HOLD
	selectIntoOrLocking  bool     // SELECT INTO, FOR UPDATE
}

// dataModifyingKeywords mark a statement that begins as a read as a write, for
// example WITH with an INSERT.
var dataModifyingKeywords = map[string]bool{"insert": true, "update": true, "delete": true, "merge": true}

// sideEffectFreeBeforeParen lists the words that may precede a parenthesis in a
// read without side effects: keywords, and functions that have no side effects.
var sideEffectFreeBeforeParen = wordSet("select from where and or not in as on using values exists any all some " +
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

func (f *statementFeatures) add(next sqlToken) {
	previous := f.previous
	f.previous = next
	if next.kind == tokenWord {
		f.addWord(previous, next.text)
	}
	if next == (sqlToken{tokenSymbol, "("}) && (previous.kind == tokenWord || previous.kind == tokenQuotedName) {
		f.addCall(strings.ToLower(previous.text), previous.kind == tokenQuotedName)
	}
}

func (f *statementFeatures) addWord(previous sqlToken, text string) {
	switch {
	case dataModifyingKeywords[text]:
		f.modifiesData = true
	case text == "into":
		f.selectIntoOrLocking = true
	}
	if previous.kind != tokenWord {
		return
	}
	switch {
	case previous.text == "into" && (text == "temp" || text == "temporary"):
		f.sessionBound = "SELECT INTO TEMPORARY"
	case previous.text == "with" && text == "hold":
		f.withHold = true
	case previous.text == "for" && (text == "update" || text == "share" || text == "no" || text == "key"):
		f.selectIntoOrLocking = true
	}
}

func (f *statementFeatures) addCall(name string, quoted bool) {
	unqualified := name[strings.LastIndexByte(name, '.')+1:]
	if bound := isSessionBoundFunction(unqualified); bound {
		f.sessionBound = unqualified
	}
	if quoted || !sideEffectFreeBeforeParen[name] {
		f.callsUnknownFunction = true
	}
}

// isSessionBoundFunction reports whether a function's effect outlives its
// transaction, or whether it is an internal function of the proxy on targets.
func isSessionBoundFunction(name string) bool {
	switch {
	case strings.HasPrefix(name, "nettlewalk_"):
		return true
	case strings.HasPrefix(name, "pg_advisory_"), strings.HasPrefix(name, "pg_try_advisory_"):
		return !strings.Contains(name, "_xact_")
	default:
		return name == "set_config"
	}
}
