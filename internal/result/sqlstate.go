package result

// Retry is the advice on whether a caller may repeat a request. Its text appears in
// docs/ERRORS.md.
type Retry string

// Retry advice.
const (
	RetryNever   Retry = "no"              // the request would fail again
	RetryNow     Retry = "at once"         // the request had no effect
	RetryLater   Retry = "after the hint"  // the request had no effect; wait as the hint says
	RetryRestart Retry = "the transaction" // repeat the transaction from its beginning
	RetryCheck   Retry = "after a check"   // first check whether the request took effect
	RetryTarget  Retry = "see SQLSTATE"    // depends on the SQLSTATE of the target's error
)

// Info is the documentation of a code: one row of Table.
type Info struct {
	Code     Code
	Name     string // name of the code's constant
	SQLState string // SQLSTATE that callers receive
	Meaning  string
	Retry    Retry
}

// Table lists every code in ascending order.
var Table = []Info{
	{OK, "OK", "00000", "done", RetryNever},

	{QueueFull, "QueueFull", "53300", "too many requests wait", RetryLater},
	{DeadlineTooClose, "DeadlineTooClose", "57P03", "the wait would outlast the deadline", RetryLater},
	{TooManyConnections, "TooManyConnections", "53300", "the target refused another connection", RetryLater},
	{TargetDown, "TargetDown", "57P03", "the target can't be reached", RetryLater},
	{NotPrimary, "NotPrimary", "25006", "the target isn't its group's primary", RetryLater},
	{BehindFloor, "BehindFloor", "57P03", "the target hasn't applied the session's last write", RetryLater},
	{TooStale, "TooStale", "57P03", "the target's data is older than allowed", RetryLater},
	{NotHolder, "NotHolder", "57P03", "the host holds no slot of the target", RetryLater},
	{NoMajority, "NoMajority", "57P03", "no majority of the group can be reached, writes can't be confirmed", RetryLater},
	{FailoverUnderway, "FailoverUnderway", "57P03", "the group is changing its primary", RetryLater},
	{Draining, "Draining", "57P01", "the host is leaving", RetryNow},
	{HostUnreachable, "HostUnreachable", "57P03", "the holder can't be reached", RetryLater},
	{NoConfiguration, "NoConfiguration", "57P03", "the host has no configuration yet", RetryLater},
	{LimitReached, "LimitReached", "53400", "the customer's limit is used up", RetryLater},
	{ReadOnlyTarget, "ReadOnlyTarget", "25006", "a replica refused to write", RetryNow},
	{TransactionLost, "TransactionLost", "40001", "the transaction is lost and rolled back", RetryRestart},
	{NoReadableTarget, "NoReadableTarget", "57P03", "no target is fresh enough for the read", RetryLater},
	{Canceled, "Canceled", "57014", "canceled before it was sent", RetryNow},
	{DeadlinePassed, "DeadlinePassed", "57014", "the deadline passed before it was sent", RetryNow},
	{VersionConflict, "VersionConflict", "40001", "another edit won", RetryNow},
	{PlatformDown, "PlatformDown", "57P03", "the platform can't be reached, nothing was sent", RetryLater},
	{UnknownKey, "UnknownKey", "28000", "no customer holds the caller's key", RetryNever},

	{UnknownOutcome, "UnknownOutcome", "08007", "the connection broke after the request was sent", RetryCheck},
	{UnconfirmedCommit, "UnconfirmedCommit", "08007", "committed at the primary, not confirmed by a majority", RetryCheck},
	{HolderLost, "HolderLost", "08007", "the holder was lost after the request was sent", RetryCheck},
	{PlatformUnknown, "PlatformUnknown", "08007", "the platform's answer to an edit was lost", RetryCheck},

	{TargetError, "TargetError", "XX000", "the target's own error", RetryTarget},

	{UnsupportedFeature, "UnsupportedFeature", "0A000", "a feature that the proxy doesn't offer", RetryNever},
	{BadStartup, "BadStartup", "08P01", "the start-up message can't be read", RetryNever},
	{UnknownCustomer, "UnknownCustomer", "28000", "no such customer, database or user", RetryNever},
	{BadPassword, "BadPassword", "28P01", "authentication failed", RetryNever},
	{BadToken, "BadToken", "22023", "malformed or foreign session token", RetryNever},
	{BadSetting, "BadSetting", "22023", "unknown or malformed setting", RetryNever},
	{MessageTooLarge, "MessageTooLarge", "54000", "a message above the limit", RetryNever},
	{BadProtocol, "BadProtocol", "08P01", "a message out of order or unreadable", RetryNever},
	{BadConfiguration, "BadConfiguration", "F0000", "a settings file, template or customer with faults", RetryNever},
	{Forbidden, "Forbidden", "42501", "the operator may not see or edit this object", RetryNever},
	{NotFound, "NotFound", "42704", "no such object", RetryNever},
	{ReadOnlySession, "ReadOnlySession", "25006", "a write from a user or session declared read-only", RetryNever},
}

// Describe returns the row of Table for a code. For a code without a row, such as
// a code from a newer host, it returns a row that describes only the code's group.
func Describe(code Code) Info {
	for _, info := range Table {
		if info.Code == code {
			return info
		}
	}
	return Info{Code: code, Name: "Unknown", SQLState: "XX000", Meaning: string(code.Group()), Retry: RetryNever}
}
