package cicadaplatform

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"github.com/ansel1/merry/v2"
)

// EncodeJSON encodes v as JSON that is not meant for HTML pages: <, > and & take one byte each
// instead of six.
func EncodeJSON(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		return nil, merry.Errorf("encode JSON: %w", err)
	}
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), nil
}

const (
	shortEscapeSize = 2 // of a character like \n
	longEscapeSize  = 6 // of a character like \u0000
)

// JSONStringSize returns the size of s as EncodeJSON encodes it, with its quotes, in bytes.
func JSONStringSize[T string | []byte](s T) int {
	size := len(`""`)
	for i := 0; i < len(s); {
		if b := s[i]; b < utf8.RuneSelf {
			size += asciiSize(b)
			i++
			continue
		}
		r, n := utf8.DecodeRuneInString(string(s[i:min(i+utf8.UTFMax, len(s))]))
		size += runeSize(r, n)
		i += n
	}
	return size
}

func asciiSize(b byte) int {
	switch {
	case b == '"', b == '\\', b == '\b', b == '\f', b == '\n', b == '\r', b == '\t':
		return shortEscapeSize
	case b < ' ':
		return longEscapeSize
	}
	return 1
}

// runeSize returns the size of a character of n bytes beyond ASCII. The line separators, and
// bytes that are no character, are escaped.
func runeSize(r rune, n int) int {
	if r == '\u2028' || r == '\u2029' || r == utf8.RuneError && n == 1 {
		return longEscapeSize
	}
	return n
}
