package cicadaplatform

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestJSONStringSizeIsThatOfTheEncoding guards against groups of values that are filled up by
// their size before encoding, and then exceed the limit of an object.
func TestJSONStringSizeIsThatOfTheEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := rapid.OneOf(rapid.String(), rapid.Map(rapid.SliceOf(rapid.Byte()), func(b []byte) string { return string(b) })).Draw(t, "s")
		encoded, err := EncodeJSON(s)
		assert.NilError(t, err)
		assert.Equal(t, JSONStringSize(s), len(encoded), "%q", s)
		assert.Equal(t, JSONStringSize([]byte(s)), len(encoded), "%q", s)
	})
	assert.Equal(t, JSONStringSize("<td>&</td>\u2028\x00\x7f\"\n"), len(`"<td>&</td>\u2028\u0000`+"\x7f"+`\"\n"`))
}
