package target

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// PostgreSQL type OIDs that the stand-in supports.
const (
	oidBool        = 16
	oidBytea       = 17
	oidInt8        = 20
	oidInt2        = 21
	oidInt4        = 23
	oidText        = 25
	oidFloat4      = 700
	oidFloat8      = 701
	oidVarchar     = 1043
	oidTimestamp   = 1114
	oidTimestamptz = 1184
	oidVoid        = 2278
)

const (
	textFormat   = 0
	binaryFormat = 1
)

// postgresEpoch is the zero point of binary timestamps.
var postgresEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// columnOID returns the type OID for a declared column type, or 0 if none is
// declared.
func columnOID(decl string) uint32 {
	decl = strings.ToUpper(decl)
	containsAny := func(words ...string) bool {
		for _, w := range words {
			if strings.Contains(decl, w) {
				return true
			}
		}
		return false
	}
	switch {
	case decl == "":
		return 0
	case containsAny("INT", "SERIAL"):
		return oidInt8
	case containsAny("BOOL"):
		return oidBool
	case containsAny("CHAR", "TEXT", "CLOB", "UUID", "JSON"):
		return oidText
	case containsAny("BLOB", "BYTEA"):
		return oidBytea
	case containsAny("REAL", "FLOA", "DOUB", "NUMERIC", "DECIMAL"):
		return oidFloat8
	case containsAny("TIMESTAMPTZ"):
		return oidTimestamptz
	case containsAny("TIMESTAMP", "DATETIME"):
		return oidTimestamp
	default:
		return oidText
	}
}

// valueOID returns the type OID for a value without a declared type.
func valueOID(v any) uint32 {
	switch v.(type) {
	case int64:
		return oidInt8
	case bool:
		return oidBool
	case float64:
		return oidFloat8
	case []byte:
		return oidBytea
	case time.Time:
		return oidTimestamptz
	default:
		return oidText
	}
}

func typeSize(oid uint32) int16 {
	switch oid {
	case oidBool:
		return 1
	case oidInt8, oidFloat8, oidTimestamp, oidTimestamptz:
		return 8
	case oidVoid:
		return 4
	default:
		return -1
	}
}

// encode encodes a column value in the given type and format. A nil value is
// NULL.
func encode(v any, oid uint32, format int16) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if format == binaryFormat {
		return encodeBinary(v, oid)
	}
	return []byte(encodeText(v, oid)), nil
}

func encodeText(v any, oid uint32) string {
	switch v := v.(type) {
	case int64:
		if oid == oidBool {
			return boolText(v != 0)
		}
		return strconv.FormatInt(v, 10)
	case bool:
		return boolText(v)
	case float64:
		return strconv.FormatFloat(v, 'g', -1, 64)
	case time.Time:
		return v.UTC().Format(timestampFormat)
	case []byte:
		if oid == oidBytea {
			return `\x` + hex.EncodeToString(v)
		}
		return string(v)
	default:
		return fmt.Sprint(v)
	}
}

func boolText(b bool) string {
	if b {
		return "t"
	}
	return "f"
}

func encodeBinary(v any, oid uint32) ([]byte, error) {
	text := encodeText(v, oid)
	switch oid {
	case oidInt8:
		n, err := strconv.ParseInt(text, 10, 64)
		return binary.BigEndian.AppendUint64(nil, uint64(n)), err
	case oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)), err
	case oidBool:
		if text == "t" || text == "true" || text == "1" {
			return []byte{1}, nil
		}
		return []byte{0}, nil
	case oidBytea:
		if raw, ok := v.([]byte); ok {
			return raw, nil
		}
		return []byte(text), nil
	case oidTimestamp, oidTimestamptz:
		timestamp, err := parseTime(text)
		return binary.BigEndian.AppendUint64(nil, uint64(timestamp.Sub(postgresEpoch).Microseconds())), err
	default:
		return []byte(text), nil
	}
}

func parseTime(text string) (time.Time, error) {
	for _, layout := range []string{timestampFormat, "2006-01-02 15:04:05.999999Z07", "2006-01-02 15:04:05.999999", time.RFC3339Nano, "2006-01-02"} {
		if timestamp, err := time.Parse(layout, text); err == nil {
			return timestamp, nil
		}
	}
	return postgresEpoch, pgErrorf(stateBadParameter, "invalid timestamp %q", text)
}

// decode decodes a parameter of the given type and format.
func decode(raw []byte, oid uint32, format int16) (Value, error) {
	if raw == nil {
		return Value{}, nil
	}
	if format == binaryFormat {
		return decodeBinary(raw, oid)
	}
	text := string(raw)
	switch oid {
	case oidInt2, oidInt4, oidInt8:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Value{}, pgErrorf(stateBadParameter, "invalid integer %q", text)
		}
		return valueOf(n), nil
	case oidFloat4, oidFloat8:
		f, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return Value{}, pgErrorf(stateBadParameter, "invalid number %q", text)
		}
		return valueOf(f), nil
	case oidBool:
		return valueOf(strings.HasPrefix(strings.ToLower(text), "t") || text == "1"), nil
	case oidBytea:
		if strings.HasPrefix(text, `\x`) {
			b, err := hex.DecodeString(text[2:])
			if err != nil {
				return Value{}, pgErrorf(stateBadParameter, "invalid bytea")
			}
			return valueOf(b), nil
		}
		return valueOf(raw), nil
	default:
		return valueOf(text), nil
	}
}

func decodeBinary(raw []byte, oid uint32) (Value, error) {
	switch {
	case oid == oidInt2 && len(raw) == 2:
		return valueOf(int64(int16(binary.BigEndian.Uint16(raw)))), nil
	case oid == oidInt4 && len(raw) == 4:
		return valueOf(int64(int32(binary.BigEndian.Uint32(raw)))), nil
	case oid == oidInt8 && len(raw) == 8:
		return valueOf(int64(binary.BigEndian.Uint64(raw))), nil
	case oid == oidFloat4 && len(raw) == 4:
		return valueOf(float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))), nil
	case oid == oidFloat8 && len(raw) == 8:
		return valueOf(math.Float64frombits(binary.BigEndian.Uint64(raw))), nil
	case oid == oidBool && len(raw) == 1:
		return valueOf(raw[0] == 1), nil
	case (oid == oidTimestamp || oid == oidTimestamptz) && len(raw) == 8:
		micros := int64(binary.BigEndian.Uint64(raw))
		return valueOf(postgresEpoch.Add(time.Duration(micros) * time.Microsecond)), nil
	case oid == oidText || oid == oidVarchar || oid == 0:
		return valueOf(string(raw)), nil
	case oid == oidBytea:
		return valueOf(append([]byte(nil), raw...)), nil
	default:
		return Value{}, pgErrorf(stateBadParameter, "unsupported binary parameter with type OID %d", oid)
	}
}
