package quota

import (
	"context"

	"github.com/snipebeam/snipebeam/world/wire"
	"github.com/twitchtv/twirp"
)

// GrantOrganisations grants requests within the limits of organisations.
func (s *Service) GrantOrganisations(context.Context, *wire.OrganisationGrantRequest) (*wire.OrganisationGrantResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "limits of organisations are not granted")
}
