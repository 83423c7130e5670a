package rule

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// lineLexer splits one line of a rules file into tokens.
var lineLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#.*`},
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Path", Pattern: `/[^\s:,=#"]*`},
	{Name: "Quantity", Pattern: `[0-9][0-9A-Za-z.%/]*`},
	{Name: "Word", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
	{Name: "Punct", Pattern: `[:,=]`},
	{Name: "Space", Pattern: `[ \t\r]+`},
})

var lineParser = participle.MustBuild[lineNode](
	participle.Lexer(lineLexer),
	participle.Elide("Space"),
	participle.UseLookahead(2),
)

// lineNode is the syntax tree of one line: a service, organisation or route line, then
// its comment.
type lineNode struct {
	Service      *serviceNode      `parser:"( 'service' @@"`
	Organisation *organisationNode `parser:"| 'organisation' @@"`
	Route        *routeNode        `parser:"| 'route' @@ )"`
	Terms        []*termNode       `parser:"( ':' @@ ( ',' @@ )* )?"`
	Comment      string            `parser:"@Comment?"`
}

type organisationNode struct {
	Pos  lexer.Position
	Name string `parser:"( @String | @Word )"`
}

type serviceNode struct {
	Pos  lexer.Position
	Name string `parser:"@Word"`
}

type routeNode struct {
	Pos        lexer.Position
	Service    string           `parser:"@Word"`
	Weight     string           `parser:"( '=' @Quantity )?"`
	Others     []*shareNode     `parser:"( ',' @@ )*"`
	At         *atNode          `parser:"( 'at' @@ )?"`
	Methods    []*methodNode    `parser:"( (?! 'when') @@ ( ',' @@ )* )?"`
	Path       *pathNode        `parser:"@@?"`
	Conditions []*conditionNode `parser:"( 'when' @@ ( 'and' @@ )* )?"`
}

// shareNode is a further service of a traffic split.
type shareNode struct {
	Pos     lexer.Position
	Service string `parser:"@Word '='"`
	Weight  string `parser:"@Quantity"`
}

// atNode is the HTTP host and the path prefix that a route line with "at" matches.
type atNode struct {
	Pos    lexer.Position
	Host   string `parser:"( @String | @Word )"`
	Prefix string `parser:"( @String | @Path )"`
}

type methodNode struct {
	Pos  lexer.Position
	Name string `parser:"@Word"`
}

type pathNode struct {
	Pos  lexer.Position
	Text string `parser:"@Path"`
}

type conditionNode struct {
	Pos    lexer.Position
	Header string `parser:"@Word '='"`
	Value  string `parser:"( @String | @Word | @Quantity | @Path )"`
}

type termNode struct {
	Pos    lexer.Position
	Name   string       `parser:"@Word"`
	Values []*valueNode `parser:"@@*"`
}

type valueNode struct {
	Pos  lexer.Position
	Text string `parser:"( @String | @Word | @Quantity | @Path )"`
}
