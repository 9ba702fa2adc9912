package routeconfig

// Authority is the host that a route is bound to or that a request names, with its port where one is given. Two
// authorities are the same if all their characters are, apart from the case of ASCII letters. A port is part of
// the authority: "shop.example", "shop.example:80" and "shop.example:8443" are three authorities. The zero value
// is no authority.
type Authority string

// ParseAuthority returns the authority of a Host header or of a route's field "host". All comparisons of hosts
// use it, so that a configuration is checked by the same rule by which its requests are matched.
func ParseAuthority(host string) Authority {
	lower := []byte(host)
	for index, char := range lower {
		if char >= 'A' && char <= 'Z' {
			lower[index] = char - 'A' + 'a'
		}
	}
	return Authority(lower)
}
