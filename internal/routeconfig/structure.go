package routeconfig

import "fmt"

// structure is the shape of a JSON text, as far as it determines the memory that parsing takes.
type structure struct {
	depth  int64 // of nested objects and lists
	values int64 // numbers, texts and other values, objects and lists, and the names of fields
}

// measureStructure returns the shape of a JSON text in one pass, without recursion and without allocating. It
// stops at the first excess of a limit. For a text that is not JSON the result has no meaning.
func measureStructure(text []byte, limits Limits) structure {
	var measured structure
	depth := int64(0)
	for index := 0; index < len(text); index++ {
		switch text[index] {
		case '"':
			index = endOfString(text, index)
		case '{', '[':
			depth++
			measured.values++
			measured.depth = max(measured.depth, depth)
		case '}', ']':
			depth--
		case ',', ':':
			measured.values++
		}
		if measured.exceeds(limits) {
			return measured
		}
	}
	return measured
}

// endOfString returns the index of the quote that ends the string that begins at an index, or of the last byte.
func endOfString(text []byte, begin int) int {
	for index := begin + 1; index < len(text); index++ {
		switch text[index] {
		case '\\':
			index++
		case '"':
			return index
		}
	}
	return len(text) - 1
}

// exceeds reports whether the text may take too much memory to be parsed.
func (s structure) exceeds(limits Limits) bool {
	return s.depth > limits.MaxDepth || s.values > limits.MaxValues
}

// problem returns what is wrong with the structure of a configuration, or "".
func (s structure) problem(limits Limits) string {
	switch {
	case s.depth > limits.MaxDepth:
		return fmt.Sprintf("nested deeper than %d", limits.MaxDepth)
	case s.values > limits.MaxValues:
		return fmt.Sprintf("more than %d values", limits.MaxValues)
	}
	return ""
}
